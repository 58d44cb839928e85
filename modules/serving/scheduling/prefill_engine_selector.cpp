#include "serving/scheduling/prefill_engine_selector.hpp"

#include <algorithm>

namespace hibiscusferry
{

namespace
{

/** Engines considered: the homes of a chain of parts, and some drawn. */
constexpr std::size_t homes = 2;
constexpr std::size_t drawn_readers = 0;

double shared_tokens(const prompt_info& prompt)
{
    double tokens = 0;
    for (std::size_t at = 0; at < prompt.shared_block_count(); ++at)
        tokens += prompt.blocks[at].tokens;
    return tokens;
}

/** Moves the `count` readers of the greatest weight for a key to the front.
    @returns how many there are, at most `count` */
std::size_t bring_forward(target_list& prefill_engines, std::size_t begin,
                          std::size_t count, std::uint64_t key)
{
    const std::size_t end = std::min(prefill_engines.size(), begin + count);
    const auto first = prefill_engines.begin();
    std::partial_sort(first + static_cast<std::ptrdiff_t>(begin),
                      first + static_cast<std::ptrdiff_t>(end),
                      prefill_engines.end(),
                      [key](const std::shared_ptr<target_view>& left,
                            const std::shared_ptr<target_view>& right)
                      {
                          return rendezvous_weight(key, left->key) >
                                 rendezvous_weight(key, right->key);
                      });
    return end;
}

/** The engine that keeps a chain if any does: its home among those that have
    been readers for a while, also one that takes no new work any more. */
std::shared_ptr<target_view> keeper_of(const target_list& targets,
                                       std::uint64_t chain, time_point now)
{
    std::shared_ptr<target_view> source_engine;
    std::uint64_t greatest = 0;
    for (const std::shared_ptr<target_view>& target : targets)
    {
        const bool is_settled = target->record.stage == target_role::prefill &&
                                now >= target->settles_at &&
                                target->health.is_usable(now);
        if (!is_settled)
            continue;
        const std::uint64_t weight = rendezvous_weight(chain, target->key);
        if (source_engine && weight <= greatest)
            continue;
        source_engine = target;
        greatest = weight;
    }
    return source_engine;
}

} // namespace

prefill_engine_selector::prefill_engine_selector(
    const engine_speeds& speeds, const engine_properties& engine)
    : speeds_(speeds)
    , engine_(engine)
{
}

double prefill_engine_selector::fetching_ms(const target_view& target,
                                            const target_view& source_engine,
                                            double tokens) const
{
    if (engine_.link_megabits_per_second <= 0)
        return 0;
    const double zones = target.record.availability_zone ==
                                 source_engine.record.availability_zone
                             ? 1
                             : 2;
    return speeds_.hand_over_ms + zones * tokens * engine_.kv_bytes_per_token *
                                      8 / engine_.link_megabits_per_second /
                                      1000;
}

engine_candidate prefill_engine_selector::assess(
    const std::shared_ptr<target_view>& target,
    const std::shared_ptr<target_view>& source_engine,
    const generation_request& request, time_point now) const
{
    const prompt_info& prompt = *request.prompt;
    const double shared = shared_tokens(prompt);
    const double kept = target == source_engine
                            ? shared
                            : target->cached_prefixes.cached_tokens(prompt);
    engine_candidate found;
    found.target = target;
    double fetching = 0;
    if (source_engine && kept < shared)
    {
        found.prefix_source = source_engine;
        fetching = fetching_ms(*target, *source_engine, shared - kept);
    }
    found.pending_prefill_tokens = std::max(
        prompt.prompt_tokens - (found.prefix_source ? shared : kept), 0.0);
    const double waiting =
        expected_load(*target, request.constraints.live_hosts, now)
            .pending_prefill_tokens;
    found.baseline_ms = fetching + (waiting + found.pending_prefill_tokens) /
                                       speeds_.prefill_tokens_per_ms;
    found.expected_ms =
        std::max(found.baseline_ms + target->expected_delay_ms(
                                         request.delays.prefill_engines, now),
                 0.0);
    const bool is_own_zone = target->record.availability_zone ==
                             request.constraints.availability_zone;
    found.cost_ms =
        found.expected_ms + (is_own_zone ? 0 : speeds_.other_zone_ms);
    return found;
}

engine_candidate
prefill_engine_selector::best(const target_list& targets,
                              const generation_request& request,
                              time_point now) const
{
    const prompt_info& prompt = *request.prompt;
    const std::uint64_t chain = prompt.prefix_hash(prompt.shared_block_count());
    target_list prefill_engines;
    for (const std::shared_ptr<target_view>& target : targets)
    {
        if (target->record.stage == target_role::prefill &&
            is_candidate(*target, request, now))
            prefill_engines.push_back(target);
    }
    const std::size_t homes_end =
        bring_forward(prefill_engines, 0, homes, chain);
    const std::size_t end =
        bring_forward(prefill_engines, homes_end, drawn_readers, request.draw);
    const std::shared_ptr<target_view> source_engine =
        keeper_of(targets, chain, now);
    engine_candidate best;
    for (std::size_t at = 0; at < end; ++at)
    {
        const engine_candidate found =
            assess(prefill_engines[at], source_engine, request, now);
        if (!best.target || found.cost_ms < best.cost_ms)
            best = found;
    }
    return best;
}

} // namespace hibiscusferry
