#include "serving/scheduling/engine_scheduler.hpp"

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
double longest_wait_ms(const generation_request& request)
{
    const double time_to_objective =
        static_cast<double>(request.time_to_objective.count());
    const double time_to_deadline =
        static_cast<double>(request.time_to_deadline.count());
    // Nobody can be on time any more: late answers are still of use.
    if (time_to_objective <= 0)
        return time_to_deadline / 2;
    return std::min(usable_objective_part * time_to_objective,
                    time_to_deadline);
}

bool has_decoder(const target_list& targets, time_point now)
{
    return std::any_of(targets.begin(), targets.end(),
                       [now](const std::shared_ptr<target_view>& target)
                       {
                           return target->is_available(now) &&
                                  target->record.stage != target_role::prefill;
                       });
}

} // namespace

engine_scheduler::engine_scheduler(const engine_speeds& speeds)
    : speeds_(speeds)
{
}

engine_assignment engine_scheduler::cheapest(const target_list& targets,
                                             const generation_request& request,
                                             const engine_properties& engine,
                                             time_point now) const
{
    const decode_engine_selector decode_engines(speeds_, engine);
    engine_assignment chosen;
    if (request.prefilled_by)
    {
        const engine_candidate decode_engine = decode_engines.best(
            targets, request, request.prefilled_by.get(), now);
        chosen.decode_engine = decode_engine.target;
        chosen.decode_baseline_ms = decode_engine.baseline_ms;
        chosen.expected_ms = decode_engine.expected_ms;
        return chosen;
    }

    const engine_candidate direct =
        decode_engines.best(targets, request, nullptr, now);
    chosen.decode_engine = direct.target;
    chosen.decode_baseline_ms = direct.baseline_ms;
    chosen.expected_ms = direct.expected_ms;
    chosen.pending_prefill_tokens = direct.pending_prefill_tokens;
    const bool is_short = direct.target && direct.pending_prefill_tokens <=
                                               longest_direct_reading;
    if (!request.may_transfer_kv)
        return chosen;

    const engine_candidate prefill_engine =
        prefill_engine_selector(speeds_, engine).best(targets, request, now);
    if (!prefill_engine.target)
        return chosen;
    const engine_candidate decode_engine =
        decode_engines.best(targets, request, prefill_engine.target.get(), now);
    const bool is_better =
        !is_short ||
        prefill_engine.cost_ms + decode_engine.cost_ms < direct.cost_ms;
    if (!decode_engine.target || !is_better)
        return chosen;
    chosen.prefill_engine = prefill_engine.target;
    chosen.decode_engine = decode_engine.target;
    chosen.expected_ms = prefill_engine.expected_ms + decode_engine.expected_ms;
    chosen.prefill_baseline_ms = prefill_engine.baseline_ms;
    chosen.decode_baseline_ms = decode_engine.baseline_ms;
    chosen.prefix_source = prefill_engine.prefix_source;
    chosen.pending_prefill_tokens = prefill_engine.pending_prefill_tokens;
    return chosen;
}

engine_assignment engine_scheduler::schedule(const target_list& targets,
                                             const generation_request& request,
                                             const engine_properties& engine,
                                             time_point now,
                                             scheduling_failure& reason) const
{
    engine_assignment chosen = cheapest(targets, request, engine, now);
    if (!chosen.decode_engine)
    {
        reason = has_decoder(targets, now) ? scheduling_failure::busy
                                           : scheduling_failure::no_target;
        return chosen;
    }
    if (chosen.expected_ms > longest_wait_ms(request))
    {
        reason = scheduling_failure::busy;
        chosen.prefill_engine = nullptr;
        chosen.decode_engine = nullptr;
    }
    return chosen;
}

} // namespace hibiscusferry
