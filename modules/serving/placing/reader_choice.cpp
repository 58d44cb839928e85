#include "serving/placing/reader_choice.hpp"

#include <algorithm>

namespace hibiscusferry
{

namespace
{

/** Engines considered: the homes of a chain of parts, and some drawn. */
constexpr std::size_t homes = 2;
constexpr std::size_t drawn_readers = 0;

double shared_tokens(const prompt& wanted)
{
    double tokens = 0;
    for (std::size_t at = 0; at < wanted.shared_parts(); ++at)
        tokens += wanted.parts[at].tokens;
    return tokens;
}

/** Moves the `count` readers of the greatest weight for a key to the front.
    @returns how many there are, at most `count` */
std::size_t bring_forward(target_list& readers, std::size_t begin,
                          std::size_t count, std::uint64_t key)
{
    const std::size_t end = std::min(readers.size(), begin + count);
    const auto first = readers.begin();
    std::partial_sort(first + static_cast<std::ptrdiff_t>(begin),
                      first + static_cast<std::ptrdiff_t>(end), readers.end(),
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
    std::shared_ptr<target_view> keeper;
    std::uint64_t greatest = 0;
    for (const std::shared_ptr<target_view>& target : targets)
    {
        const bool is_settled = target->record.stage == target_role::prefill &&
                                now >= target->settles_at &&
                                target->health.is_usable(now);
        if (!is_settled)
            continue;
        const std::uint64_t weight = rendezvous_weight(chain, target->key);
        if (keeper && weight <= greatest)
            continue;
        keeper = target;
        greatest = weight;
    }
    return keeper;
}

} // namespace

reader_choice::reader_choice(const engine_speeds& speeds,
                             const engine_properties& engine)
    : speeds_(speeds)
    , engine_(engine)
{
}

double reader_choice::fetching_ms(const target_view& target,
                                  const target_view& keeper,
                                  double tokens) const
{
    if (engine_.link_megabits_per_second <= 0)
        return 0;
    const double zones =
        target.record.availability_zone == keeper.record.availability_zone ? 1
                                                                           : 2;
    return speeds_.hand_over_ms + zones * tokens * engine_.kv_bytes_per_token *
                                      8 / engine_.link_megabits_per_second /
                                      1000;
}

engine_candidate
reader_choice::assess(const std::shared_ptr<target_view>& target,
                      const std::shared_ptr<target_view>& keeper,
                      const engine_request& request, time_point now) const
{
    const prompt& wanted = *request.wanted;
    const double shared = shared_tokens(wanted);
    const double kept =
        target == keeper ? shared : target->kept.kept_tokens(wanted);
    engine_candidate found;
    found.target = target;
    double fetching = 0;
    if (keeper && kept < shared)
    {
        found.fetches_from = keeper;
        fetching = fetching_ms(*target, *keeper, shared - kept);
    }
    found.unread_tokens = std::max(
        wanted.prompt_tokens - (found.fetches_from ? shared : kept), 0.0);
    const double waiting =
        expected_load(*target, request.common.live_hosts, now).unread_tokens;
    found.plain_ms = fetching + (waiting + found.unread_tokens) /
                                    speeds_.prefill_tokens_per_ms;
    found.expected_ms = std::max(
        found.plain_ms + target->expected_delay_ms(request.delays.readers, now),
        0.0);
    const bool is_own_zone =
        target->record.availability_zone == request.common.availability_zone;
    found.cost_ms =
        found.expected_ms + (is_own_zone ? 0 : speeds_.other_zone_ms);
    return found;
}

engine_candidate reader_choice::best(const target_list& targets,
                                     const engine_request& request,
                                     time_point now) const
{
    const prompt& wanted = *request.wanted;
    const std::uint64_t chain = wanted.chain_key(wanted.shared_parts());
    target_list readers;
    for (const std::shared_ptr<target_view>& target : targets)
    {
        if (target->record.stage == target_role::prefill &&
            is_candidate(*target, request, now))
            readers.push_back(target);
    }
    const std::size_t homes_end = bring_forward(readers, 0, homes, chain);
    const std::size_t end =
        bring_forward(readers, homes_end, drawn_readers, request.draw);
    const std::shared_ptr<target_view> keeper = keeper_of(targets, chain, now);
    engine_candidate best;
    for (std::size_t at = 0; at < end; ++at)
    {
        const engine_candidate found =
            assess(readers[at], keeper, request, now);
        if (!best.target || found.cost_ms < best.cost_ms)
            best = found;
    }
    return best;
}

} // namespace hibiscusferry
