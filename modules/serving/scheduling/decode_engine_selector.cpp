#include "serving/scheduling/decode_engine_selector.hpp"

#include <algorithm>

namespace hibiscusferry
{

namespace
{

/** Fraction of an engine's KV cache that running requests may use. */
constexpr double usable_memory_fraction = 0.85;

/** Completions that occupy a slot at least this many latency objectives are
    packed. */
constexpr double min_long_completion_objectives = 8;

/** Fraction of an engine's slots that is filled before long completions are
    assigned to the next engine. */
constexpr double max_packed_fraction = 0.6;

/** Penalty for an engine with no free slots compared with an idle one. Its
    load reports are delayed, and requests of other hosts may be in flight to
    it. In latency objectives. */
constexpr double full_engine_penalty = 0.2;

/** Number of engines sampled for a short completion: from the preferred zone,
    and from all zones. */
constexpr std::size_t zone_sample_size = 2;
constexpr std::size_t global_sample_size = 2;

/** Rendezvous key that gives all hosts the same packing order. */
constexpr std::uint64_t packing_key = 1;

void sort_by_weight(target_list& targets, std::uint64_t key)
{
    std::sort(targets.begin(), targets.end(),
              [key](const std::shared_ptr<target_view>& left,
                    const std::shared_ptr<target_view>& right)
              {
                  return rendezvous_weight(key, left->key) >
                         rendezvous_weight(key, right->key);
              });
}

/** Removes the engines whose gaps between events are expected to exceed the
    objective of the route. If no other engine has a free slot, the one with the
    shortest gap remains that has one: a long gap is better than a queue. */
void retain_within_gap_objective(target_list& candidates,
                                 const generation_request& request,
                                 time_point now)
{
    const double objective =
        static_cast<double>(request.event_gap_objective.count());
    if (objective <= 0)
        return;
    target_list within_objective;
    bool has_free_slot = false;
    std::shared_ptr<target_view> shortest;
    double shortest_gap_ms = 0;
    for (const std::shared_ptr<target_view>& target : candidates)
    {
        const bool is_free =
            expected_load(*target, request.constraints.live_hosts, now)
                    .requests +
                1 <=
            target->record.slots;
        const std::optional<double> slowness =
            target->slowness.is_known()
                ? std::optional<double>(target->slowness.expected(now))
                : std::nullopt;
        const std::optional<double> gap_ms = target->event_gaps.upper_gap_ms(
            request.delays.event_gaps, slowness, now);
        if (!gap_ms || *gap_ms <= objective)
        {
            within_objective.push_back(target);
            has_free_slot = has_free_slot || is_free;
        }
        else if (is_free && (!shortest || *gap_ms < shortest_gap_ms))
        {
            shortest = target;
            shortest_gap_ms = *gap_ms;
        }
    }
    if (has_free_slot)
        candidates = within_objective;
    else if (shortest)
        candidates = {shortest};
}

} // namespace

decode_engine_selector::decode_engine_selector(
    const engine_estimates& estimates, const engine_properties& engine)
    : estimates_(estimates)
    , engine_(engine)
{
}

bool decode_engine_selector::has_memory(const target_view& target,
                                        const generation_request& request,
                                        time_point now) const
{
    if (engine_.kv_capacity_tokens <= 0)
        return true;
    const double used_tokens =
        expected_load(target, request.constraints.live_hosts, now).kv_tokens;
    return used_tokens + request.prompt->prompt_tokens +
               request.prompt->output_tokens <=
           usable_memory_fraction * engine_.kv_capacity_tokens;
}

double decode_engine_selector::fetch_ms(const prompt_info& prompt,
                                        bool is_same_zone) const
{
    const double tokens = prompt.prompt_tokens * (is_same_zone ? 1 : 2);
    if (estimates_.transfer.is_known)
        return estimates_.transfer.milliseconds(tokens);
    return engine_.link_megabits_per_second > 0
               ? tokens * engine_.kv_bytes_per_token * 8 /
                     engine_.link_megabits_per_second / 1000
               : 0;
}

engine_candidate
decode_engine_selector::evaluate(const std::shared_ptr<target_view>& target,
                                 const generation_request& request,
                                 const target_view* prefill_engine,
                                 time_point now) const
{
    const prompt_info& prompt = *request.prompt;
    const in_flight_load load =
        expected_load(*target, request.constraints.live_hosts, now);
    engine_candidate candidate;
    candidate.target = target;
    if (prefill_engine == nullptr)
        candidate.pending_prefill_tokens =
            std::max(prompt.prompt_tokens -
                         target->cached_prefixes.cached_tokens(prompt),
                     0.0);
    candidate.queued_prefill_tokens = load.prefill_tokens_ahead(request.rank);
    // A transferred KV cache waits only for steps already running.
    const double prefill_ms =
        prefill_engine == nullptr
            ? estimates_.direct_prefill_ms(candidate.queued_prefill_tokens +
                                           candidate.pending_prefill_tokens)
            : estimates_.prefill.ms_per_token * load.pending_prefill_tokens /
                  engine_estimates::decode_prefill_fraction / 4;
    const double slots = std::max(target->record.slots, 1U);
    const double slot_ms =
        std::min(estimates_.completion.milliseconds(prompt.output_tokens),
                 objective_ms(request, min_long_completion_objectives));
    const double queue_ms =
        std::max(load.requests + 1 - slots, 0.0) * slot_ms / slots;
    const bool is_same_zone =
        prefill_engine == nullptr || prefill_engine->record.availability_zone ==
                                         target->record.availability_zone;
    const double transfer_ms =
        prefill_engine != nullptr ? fetch_ms(prompt, is_same_zone) : 0;
    // The transfer is limited by the link.
    candidate.slowness = target->slowness.expected(now);
    candidate.baseline_ms =
        candidate.slowness * (prefill_ms + queue_ms) + transfer_ms;
    candidate.expected_ms = std::max(
        candidate.baseline_ms +
            target->expected_delay_ms(request.delays.decode_engines, now),
        0.0);
    const bool is_local_zone = target->record.availability_zone ==
                               request.constraints.availability_zone;
    candidate.cost_ms =
        candidate.expected_ms +
        objective_ms(request, is_local_zone ? 0 : cross_zone_penalty) +
        objective_ms(request, full_engine_penalty) * load.requests / slots;
    return candidate;
}

engine_candidate decode_engine_selector::select_from_sample(
    const target_list& candidates, const generation_request& request,
    const target_view* prefill_engine, time_point now) const
{
    const std::string& preferred_zone =
        prefill_engine != nullptr ? prefill_engine->record.availability_zone
                                  : request.constraints.availability_zone;
    std::size_t zone_samples_left = zone_sample_size;
    std::size_t samples_left = zone_sample_size + global_sample_size;
    engine_candidate cheapest;
    for (const std::shared_ptr<target_view>& target : candidates)
    {
        const bool is_in_preferred_zone =
            target->record.availability_zone == preferred_zone;
        const bool is_sampled = is_in_preferred_zone
                                    ? samples_left > 0
                                    : samples_left > zone_samples_left;
        if (!is_sampled)
            continue;
        --samples_left;
        if (is_in_preferred_zone && zone_samples_left > 0)
            --zone_samples_left;
        const engine_candidate candidate =
            evaluate(target, request, prefill_engine, now);
        if (!cheapest.target || candidate.cost_ms < cheapest.cost_ms)
            cheapest = candidate;
    }
    return cheapest;
}

engine_candidate decode_engine_selector::select_first_with_capacity(
    const target_list& candidates, const generation_request& request,
    const target_view* prefill_engine, time_point now) const
{
    const std::shared_ptr<target_view>* least_loaded = nullptr;
    double min_utilization = 0;
    for (const std::shared_ptr<target_view>& target : candidates)
    {
        const double utilization =
            expected_load(*target, request.constraints.live_hosts, now)
                .requests /
            std::max(target->record.slots, 1U);
        if (utilization < max_packed_fraction)
            return evaluate(target, request, prefill_engine, now);
        if (least_loaded != nullptr && utilization >= min_utilization)
            continue;
        least_loaded = &target;
        min_utilization = utilization;
    }
    return least_loaded == nullptr
               ? engine_candidate{}
               : evaluate(*least_loaded, request, prefill_engine, now);
}

engine_candidate decode_engine_selector::select(
    const target_list& targets, const generation_request& request,
    const target_view* prefill_engine, time_point now) const
{
    target_list candidates;
    for (const std::shared_ptr<target_view>& target : targets)
    {
        if (target->record.stage != target_role::prefill &&
            is_eligible(*target, request, now) &&
            has_memory(*target, request, now))
            candidates.push_back(target);
    }
    retain_within_gap_objective(candidates, request, now);
    const bool is_long_completion =
        estimates_.completion.milliseconds(request.prompt->output_tokens) >=
        objective_ms(request, min_long_completion_objectives);
    sort_by_weight(candidates,
                   is_long_completion ? packing_key : request.random_value);
    // Prefer the local zone: the many events of a long completion would be
    // cross-zone traffic.
    if (is_long_completion)
        std::stable_partition(
            candidates.begin(), candidates.end(),
            [&request](const std::shared_ptr<target_view>& target)
            {
                return target->record.availability_zone ==
                       request.constraints.availability_zone;
            });
    return is_long_completion
               ? select_first_with_capacity(candidates, request, prefill_engine,
                                            now)
               : select_from_sample(candidates, request, prefill_engine, now);
}

} // namespace hibiscusferry
