#include "serving/scheduling/decode_engine_selector.hpp"

#include <algorithm>

namespace hibiscusferry
{

namespace
{

/** Part of an engine's memory that running requests may take. */
constexpr double usable_memory_part = 0.85;

/** An answer that holds its slot for longer is packed with others like it;
    many times the 0.1 s that a short one may take in all. */
constexpr double long_answer_ms = 1000;

/** Part of an engine's slots that long answers fill before the next engine
    gets any. */
constexpr double packed_part = 0.6;

/** What an engine with all slots taken costs more than an empty one: news of
    its load are late, and requests of other hosts are on their way to it. */
constexpr double full_engine_ms = 30;

/** Engines drawn for a short answer: from the zone where it is cheapest, and
    from all. */
constexpr std::size_t drawn_near = 2;
constexpr std::size_t drawn_anywhere = 2;

/** All hosts pack in the order of the engines' weights for this key. */
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

} // namespace

decode_engine_selector::decode_engine_selector(const engine_speeds& speeds,
                                               const engine_properties& engine)
    : speeds_(speeds)
    , engine_(engine)
{
}

bool decode_engine_selector::has_memory(const target_view& target,
                                        const generation_request& request,
                                        time_point now) const
{
    if (engine_.kv_capacity_tokens <= 0)
        return true;
    const double taken =
        expected_load(target, request.constraints.live_hosts, now).kv_tokens;
    return taken + request.prompt->prompt_tokens +
               request.prompt->output_tokens <=
           usable_memory_part * engine_.kv_capacity_tokens;
}

engine_candidate
decode_engine_selector::assess(const std::shared_ptr<target_view>& target,
                               const generation_request& request,
                               const target_view* prefill_engine,
                               time_point now) const
{
    const prompt_info& prompt = *request.prompt;
    const in_flight_load load =
        expected_load(*target, request.constraints.live_hosts, now);
    const double reading_speed =
        speeds_.prefill_tokens_per_ms * speeds_.decode_reading_part;
    engine_candidate found;
    found.target = target;
    if (prefill_engine == nullptr)
        found.pending_prefill_tokens =
            std::max(prompt.prompt_tokens -
                         target->cached_prefixes.cached_tokens(prompt),
                     0.0);
    // A copy that is handed over waits for running steps only.
    const double reading_ms =
        (prefill_engine == nullptr
             ? load.pending_prefill_tokens + found.pending_prefill_tokens
             : load.pending_prefill_tokens / 4) /
        reading_speed;
    const double slots = std::max(target->record.slots, 1U);
    const double slot_ms =
        std::min(prompt.output_tokens * speeds_.slot_ms_per_output_token,
                 long_answer_ms);
    const double queue_ms =
        std::max(load.requests + 1 - slots, 0.0) * slot_ms / slots;
    const bool is_near_reader =
        prefill_engine == nullptr || prefill_engine->record.availability_zone ==
                                         target->record.availability_zone;
    const double transfer_ms =
        prefill_engine != nullptr && engine_.link_megabits_per_second > 0
            ? prompt.prompt_tokens * engine_.kv_bytes_per_token * 8 /
                  engine_.link_megabits_per_second / 1000 *
                  (is_near_reader ? 1 : 2)
            : 0;
    found.baseline_ms =
        reading_ms + queue_ms + transfer_ms +
        std::min(load.requests, slots) * speeds_.stream_step_ms +
        (prefill_engine == nullptr ? 0 : speeds_.hand_over_ms);
    found.expected_ms =
        std::max(found.baseline_ms + target->expected_delay_ms(
                                         request.delays.decode_engines, now),
                 0.0);
    const bool is_own_zone = target->record.availability_zone ==
                             request.constraints.availability_zone;
    found.cost_ms = found.expected_ms +
                    (is_own_zone ? 0 : speeds_.other_zone_ms) +
                    full_engine_ms * load.requests / slots;
    return found;
}

engine_candidate decode_engine_selector::best_of_drawn(
    const target_list& candidates, const generation_request& request,
    const target_view* prefill_engine, time_point now) const
{
    const std::string& near_zone =
        prefill_engine != nullptr ? prefill_engine->record.availability_zone
                                  : request.constraints.availability_zone;
    std::size_t near_left = drawn_near;
    std::size_t left = drawn_near + drawn_anywhere;
    engine_candidate best;
    for (const std::shared_ptr<target_view>& target : candidates)
    {
        const bool is_near = target->record.availability_zone == near_zone;
        const bool is_drawn = is_near ? left > 0 : left > near_left;
        if (!is_drawn)
            continue;
        --left;
        if (is_near && near_left > 0)
            --near_left;
        const engine_candidate found =
            assess(target, request, prefill_engine, now);
        if (!best.target || found.cost_ms < best.cost_ms)
            best = found;
    }
    return best;
}

engine_candidate decode_engine_selector::first_with_room(
    const target_list& candidates, const generation_request& request,
    const target_view* prefill_engine, time_point now) const
{
    const std::shared_ptr<target_view>* emptiest = nullptr;
    double least = 0;
    for (const std::shared_ptr<target_view>& target : candidates)
    {
        const double taken =
            expected_load(*target, request.constraints.live_hosts, now)
                .requests /
            std::max(target->record.slots, 1U);
        if (taken < packed_part)
            return assess(target, request, prefill_engine, now);
        if (emptiest != nullptr && taken >= least)
            continue;
        emptiest = &target;
        least = taken;
    }
    return emptiest == nullptr
               ? engine_candidate{}
               : assess(*emptiest, request, prefill_engine, now);
}

engine_candidate decode_engine_selector::best(const target_list& targets,
                                              const generation_request& request,
                                              const target_view* prefill_engine,
                                              time_point now) const
{
    target_list candidates;
    for (const std::shared_ptr<target_view>& target : targets)
    {
        if (target->record.stage != target_role::prefill &&
            is_candidate(*target, request, now) &&
            has_memory(*target, request, now))
            candidates.push_back(target);
    }
    const bool is_long =
        request.prompt->output_tokens * speeds_.slot_ms_per_output_token >=
        long_answer_ms;
    sort_by_weight(candidates, is_long ? packing_key : request.draw);
    // The many events of a long answer cross no border if they need not.
    if (is_long)
        std::stable_partition(
            candidates.begin(), candidates.end(),
            [&request](const std::shared_ptr<target_view>& target)
            {
                return target->record.availability_zone ==
                       request.constraints.availability_zone;
            });
    return is_long ? first_with_room(candidates, request, prefill_engine, now)
                   : best_of_drawn(candidates, request, prefill_engine, now);
}

} // namespace hibiscusferry
