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

bool has_decoder(const target_list& targets, time_point now)
{
    return std::any_of(targets.begin(), targets.end(),
                       [now](const std::shared_ptr<target_view>& target)
                       {
                           return target->takes_work(now) &&
                                  target->record.stage != target_role::prefill;
                       });
}

} // namespace

engine_placer::engine_placer(const engine_speeds& speeds)
    : speeds_(speeds)
{
}

engine_placement engine_placer::cheapest(const target_list& targets,
                                         const engine_request& request,
                                         const engine_properties& engine,
                                         time_point now) const
{
    const decoder_choice decoders(speeds_, engine);
    engine_placement chosen;
    if (request.has_read)
    {
        const engine_candidate decoder =
            decoders.best(targets, request, request.has_read.get(), now);
        chosen.decoder = decoder.target;
        chosen.decoder_plain_ms = decoder.plain_ms;
        chosen.expected_ms = decoder.expected_ms;
        return chosen;
    }

    const engine_candidate direct =
        decoders.best(targets, request, nullptr, now);
    chosen.decoder = direct.target;
    chosen.decoder_plain_ms = direct.plain_ms;
    chosen.expected_ms = direct.expected_ms;
    chosen.unread_tokens = direct.unread_tokens;
    const bool is_short =
        direct.target && direct.unread_tokens <= longest_direct_reading;
    if (!request.may_hand_over)
        return chosen;

    const engine_candidate reader =
        reader_choice(speeds_, engine).best(targets, request, now);
    if (!reader.target)
        return chosen;
    const engine_candidate decoder =
        decoders.best(targets, request, reader.target.get(), now);
    const bool is_better =
        !is_short || reader.cost_ms + decoder.cost_ms < direct.cost_ms;
    if (!decoder.target || !is_better)
        return chosen;
    chosen.reader = reader.target;
    chosen.decoder = decoder.target;
    chosen.expected_ms = reader.expected_ms + decoder.expected_ms;
    chosen.reader_plain_ms = reader.plain_ms;
    chosen.decoder_plain_ms = decoder.plain_ms;
    chosen.reader_fetches_from = reader.fetches_from;
    chosen.unread_tokens = reader.unread_tokens;
    return chosen;
}

engine_placement engine_placer::place(const target_list& targets,
                                      const engine_request& request,
                                      const engine_properties& engine,
                                      time_point now, no_place& reason) const
{
    engine_placement chosen = cheapest(targets, request, engine, now);
    if (!chosen.decoder)
    {
        reason =
            has_decoder(targets, now) ? no_place::busy : no_place::no_target;
        return chosen;
    }
    if (chosen.expected_ms > longest_wait_ms(request))
    {
        reason = no_place::busy;
        chosen.reader = nullptr;
        chosen.decoder = nullptr;
    }
    return chosen;
}

} // namespace hibiscusferry
