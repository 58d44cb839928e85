#include "serving/scheduling/prefill_engine_selector.hpp"

#include <algorithm>

namespace hibiscusferry
{

namespace
{

/** Number of owners per shared prefix. */
constexpr std::size_t owner_count = 2;

double shared_tokens(const prompt_info& prompt)
{
    double tokens = 0;
    for (std::size_t index = 0; index < prompt.shared_block_count(); ++index)
        tokens += prompt.blocks[index].tokens;
    return tokens;
}

/** Moves the `count` engines with the highest rendezvous weight for a key to
    the front, in descending order.
    @returns the end of the sorted range */
std::size_t move_highest_weights_to_front(target_list& prefill_engines,
                                          std::size_t count, std::uint64_t key)
{
    const std::size_t end = std::min(prefill_engines.size(), count);
    std::partial_sort(prefill_engines.begin(),
                      prefill_engines.begin() +
                          static_cast<std::ptrdiff_t>(end),
                      prefill_engines.end(),
                      [key](const std::shared_ptr<target_view>& left,
                            const std::shared_ptr<target_view>& right)
                      {
                          return rendezvous_weight(key, left->key) >
                                 rendezvous_weight(key, right->key);
                      });
    return end;
}

/** Returns the engine most likely to have a prefix cached: its owner among the
    permitted prefill engines whose caches are warm, including engines that
   accept no new requests. Null if there is none. */
std::shared_ptr<target_view>
find_source_engine(const target_list& targets, std::uint64_t prefix_key,
                   const scheduling_constraints& constraints, time_point now)
{
    std::shared_ptr<target_view> source_engine;
    std::uint64_t max_weight = 0;
    for (const std::shared_ptr<target_view>& target : targets)
    {
        const bool is_warm = target->record.stage == target_role::prefill &&
                             now >= target->cache_warm_at &&
                             constraints.permits_version_of(*target) &&
                             target->health.is_usable(now);
        if (!is_warm)
            continue;
        const std::uint64_t weight = rendezvous_weight(prefix_key, target->key);
        if (source_engine && weight <= max_weight)
            continue;
        source_engine = target;
        max_weight = weight;
    }
    return source_engine;
}

} // namespace

prefill_engine_selector::prefill_engine_selector(
    const engine_estimates& estimates, const engine_properties& engine)
    : estimates_(estimates)
    , engine_(engine)
{
}

double
prefill_engine_selector::prefix_fetch_ms(const target_view& target,
                                         const target_view& source_engine,
                                         double tokens) const
{
    if (engine_.link_megabits_per_second <= 0)
        return 0;
    const double zone_factor = target.record.availability_zone ==
                                       source_engine.record.availability_zone
                                   ? 1
                                   : 2;
    return estimates_.transfer.offset_ms +
           zone_factor * tokens * engine_.kv_bytes_per_token * 8 /
               engine_.link_megabits_per_second / 1000;
}

engine_candidate prefill_engine_selector::evaluate(
    const std::shared_ptr<target_view>& target,
    const std::shared_ptr<target_view>& source_engine,
    const generation_request& request, time_point now) const
{
    const prompt_info& prompt = *request.prompt;
    const double shared_prefix_tokens = shared_tokens(prompt);
    const double cached = target == source_engine
                              ? shared_prefix_tokens
                              : target->cached_prefixes.cached_tokens(prompt);
    engine_candidate candidate;
    candidate.target = target;
    if (source_engine && cached < shared_prefix_tokens)
    {
        candidate.prefix_source = source_engine;
        candidate.prefix_fetch_ms = prefix_fetch_ms(
            *target, *source_engine, shared_prefix_tokens - cached);
    }
    candidate.pending_prefill_tokens =
        std::max(prompt.prompt_tokens -
                     (candidate.prefix_source ? shared_prefix_tokens : cached),
                 0.0);
    candidate.queued_prefill_tokens =
        expected_load(*target, request.constraints.live_hosts, now)
            .prefill_tokens_ahead(request.rank);
    candidate.slowness = target->slowness.expected(now);
    candidate.baseline_ms =
        candidate.prefix_fetch_ms +
        candidate.slowness *
            estimates_.prefill.milliseconds(candidate.queued_prefill_tokens +
                                            candidate.pending_prefill_tokens);
    candidate.expected_ms = std::max(
        candidate.baseline_ms +
            target->expected_delay_ms(request.delays.prefill_engines, now),
        0.0);
    const bool is_local_zone = target->record.availability_zone ==
                               request.constraints.availability_zone;
    candidate.cost_ms =
        candidate.expected_ms +
        objective_ms(request, is_local_zone ? 0 : cross_zone_penalty);
    return candidate;
}

engine_candidate
prefill_engine_selector::select(const target_list& targets,
                                const generation_request& request,
                                time_point now) const
{
    const prompt_info& prompt = *request.prompt;
    const std::uint64_t prefix_key =
        prompt.prefix_hash(prompt.shared_block_count());
    target_list prefill_engines;
    for (const std::shared_ptr<target_view>& target : targets)
    {
        if (target->record.stage == target_role::prefill &&
            is_eligible(*target, request, now))
            prefill_engines.push_back(target);
    }
    const std::size_t owners_end =
        move_highest_weights_to_front(prefill_engines, owner_count, prefix_key);
    const std::shared_ptr<target_view> source_engine =
        find_source_engine(targets, prefix_key, request.constraints, now);
    engine_candidate cheapest;
    for (std::size_t index = 0; index < owners_end; ++index)
    {
        const engine_candidate candidate =
            evaluate(prefill_engines[index], source_engine, request, now);
        if (!cheapest.target || candidate.cost_ms < cheapest.cost_ms)
            cheapest = candidate;
    }
    return cheapest;
}

} // namespace hibiscusferry
