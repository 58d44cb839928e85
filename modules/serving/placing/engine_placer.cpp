#include "serving/placing/engine_placer.hpp"

#include <algorithm>

namespace hibiscusferry
{

namespace
{

/** A generation is begun only if its first event is expected within this part
    of the time left until it is late. Under overload the queues are as long as
    this allows, so that without a margin all that is begun is a little late. */
constexpr double usable_objective_part = 0.7;

/** Unread tokens of a prompt beyond which it is read by a prefill engine
    whenever there is one. A decode engine reads in pieces of a quarter of the
    size, 512 tokens, and makes all its streams wait for each. */
constexpr double longest_direct_reading = 600;

/** Part of an engine's memory that running requests may take. */
constexpr double usable_memory_part = 0.85;

/** The prefill engine that a chain of shared parts belongs to. */
const target_view*
home_of(const std::vector<std::shared_ptr<target_view>>& targets,
        std::uint64_t chain, time_point now)
{
    const target_view* home = nullptr;
    std::uint64_t greatest = 0;
    for (const std::shared_ptr<target_view>& target : targets)
    {
        if (target->record.stage != target_role::prefill ||
            !target->takes_work(now))
            continue;
        const std::uint64_t weight =
            rendezvous_weight(chain, stable_hash(target->record.id));
        if (home != nullptr && weight <= greatest)
            continue;
        home = target.get();
        greatest = weight;
    }
    return home;
}

/** The longest expected time to the first event that is worth beginning. */
double longest_wait_ms(const engine_request& request)
{
    const double until_late = static_cast<double>(request.until_late.count());
    const double until_useless =
        static_cast<double>(request.until_useless.count());
    // Nobody can be on time any more: late answers are still of use.
    if (until_late <= 0)
        return until_useless / 2;
    return std::min(usable_objective_part * until_late, until_useless);
}

double shared_tokens(const prompt& wanted)
{
    double tokens = 0;
    for (std::size_t at = 0; at < wanted.shared_parts(); ++at)
        tokens += wanted.parts[at].tokens;
    return tokens;
}

} // namespace

engine_placer::engine_placer(const engine_speeds& speeds)
    : speeds_(speeds)
{
}

bool engine_placer::is_candidate(const target_view& target,
                                 const engine_request& request,
                                 time_point now) const
{
    if (!target.takes_work(now))
        return false;
    if (target.health.is_on_trial(now) && target.requests.level() > 0)
        return false;
    if (target.requests.level() >=
        static_cast<double>(request.common.connection_allowance))
        return false;
    const std::vector<std::string>& excluded = request.common.excluded;
    return std::find(excluded.begin(), excluded.end(), target.record.id) ==
           excluded.end();
}

double engine_placer::zone_cost(const target_view& target,
                                const engine_request& request) const
{
    const bool is_own_zone =
        target.record.availability_zone == request.common.availability_zone;
    return is_own_zone ? 0 : speeds_.other_zone_ms;
}

engine_placer::candidate engine_placer::best_reader(
    const std::vector<std::shared_ptr<target_view>>& targets,
    const engine_request& request, time_point now) const
{
    const prompt& wanted = *request.wanted;
    const target_view* const home =
        home_of(targets, wanted.chain_key(wanted.shared_parts()), now);
    const double shared = shared_tokens(wanted);
    candidate best;
    for (const std::shared_ptr<target_view>& target : targets)
    {
        if (target->record.stage != target_role::prefill ||
            !is_candidate(*target, request, now))
            continue;
        const double kept =
            target.get() == home ? shared : target->kept.kept_tokens(wanted);
        const double unread = std::max(wanted.prompt_tokens - kept, 0.0);
        const double waiting =
            expected_load(*target, request.common.live_hosts, now)
                .unread_tokens;
        const double plain = (waiting + unread) / speeds_.prefill_tokens_per_ms;
        const double cost = plain + zone_cost(*target, request);
        if (best.target && cost >= best.cost_ms)
            continue;
        best = {target, cost, plain, unread};
    }
    return best;
}

engine_placer::candidate engine_placer::best_decoder(
    const std::vector<std::shared_ptr<target_view>>& targets,
    const engine_request& request, const engine_properties& engine,
    bool reads_prompt, time_point now) const
{
    const prompt& wanted = *request.wanted;
    const double reading_speed =
        speeds_.prefill_tokens_per_ms * speeds_.decode_reading_part;
    candidate best;
    for (const std::shared_ptr<target_view>& target : targets)
    {
        if (target->record.stage == target_role::prefill ||
            !is_candidate(*target, request, now))
            continue;
        const open_load load =
            expected_load(*target, request.common.live_hosts, now);
        if (engine.kv_capacity_tokens > 0 &&
            load.kv_tokens + wanted.prompt_tokens + wanted.output_tokens >
                usable_memory_part * engine.kv_capacity_tokens)
            continue;
        const double unread =
            reads_prompt ? std::max(wanted.prompt_tokens -
                                        target->kept.kept_tokens(wanted),
                                    0.0)
                         : 0;
        // A copy that is handed over waits for running steps only.
        const double plain = (reads_prompt ? load.unread_tokens + unread
                                           : load.unread_tokens / 4) /
                                 reading_speed +
                             load.requests * speeds_.stream_step_ms;
        const double cost = plain + zone_cost(*target, request);
        if (best.target && cost >= best.cost_ms)
            continue;
        best = {target, cost, plain, unread};
    }
    return best;
}

engine_placement
engine_placer::place(const std::vector<std::shared_ptr<target_view>>& targets,
                     const engine_request& request,
                     const engine_properties& engine, time_point now,
                     no_place& reason) const
{
    const candidate direct = best_decoder(targets, request, engine, true, now);
    engine_placement chosen;
    chosen.decoder = direct.target;
    chosen.expected_ms = direct.cost_ms;
    chosen.decoder_plain_ms = direct.plain_ms;
    chosen.unread_tokens = direct.unread_tokens;

    if (request.may_hand_over)
    {
        const candidate reader = best_reader(targets, request, now);
        const candidate decoder =
            best_decoder(targets, request, engine, false, now);
        const double bits =
            request.wanted->prompt_tokens * engine.kv_bytes_per_token * 8;
        const double transfer_ms =
            engine.link_megabits_per_second > 0
                ? bits / engine.link_megabits_per_second / 1000
                : 0;
        const double cost = reader.cost_ms + decoder.cost_ms +
                            speeds_.hand_over_ms + transfer_ms;
        const bool is_better = !direct.target ||
                               direct.unread_tokens > longest_direct_reading ||
                               cost < chosen.expected_ms;
        if (reader.target && decoder.target && is_better)
            chosen = {reader.target,
                      decoder.target,
                      cost,
                      reader.plain_ms,
                      decoder.plain_ms + speeds_.hand_over_ms + transfer_ms,
                      reader.unread_tokens};
    }

    if (!chosen.decoder)
    {
        reason = no_place::no_target;
        for (const std::shared_ptr<target_view>& target : targets)
        {
            if (target->takes_work(now) &&
                target->record.stage != target_role::prefill)
                reason = no_place::busy;
        }
        return chosen;
    }
    chosen.expected_ms =
        chosen.decoder_plain_ms *
        chosen.decoder->slowness.factor(request.slowness.decoders, now);
    if (chosen.reader)
        chosen.expected_ms +=
            chosen.reader_plain_ms *
            chosen.reader->slowness.factor(request.slowness.readers, now);
    if (chosen.expected_ms > longest_wait_ms(request))
    {
        reason = no_place::busy;
        chosen.reader = nullptr;
        chosen.decoder = nullptr;
    }
    return chosen;
}

} // namespace hibiscusferry
