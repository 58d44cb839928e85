#include "serving/scheduling/engine_scheduler.hpp"

#include <algorithm>

namespace hibiscusferry
{

namespace
{

/** A generation is started only if its first event is expected within this
    fraction of the time left to meet the latency objective. Under overload,
    queues grow up to this limit, so that without a margin every request that
    is started would narrowly miss its objective. */
constexpr double usable_objective_fraction = 0.7;

/** Longest prefill, in latency objectives, by a decode engine if a prefill
    engine is available. All streams of a decode engine wait for each chunk that
    it prefills. */
constexpr double max_direct_prefill_objectives = 0.025;

/** A generation whose own processing takes most of the objective is started if
    it waits at most this fraction of that time for others. It would otherwise
   be refused for its size, however idle the engines are. */
constexpr double max_relative_wait = 0.4;

/** Fraction of the latency objective that the prefill of a prompt with a cached
    prefix is assumed to take before the speed of the engines is known. Without
    an assumption, queues would grow without bound in the first second. */
constexpr double assumed_prefill_objectives = 0.15;

/** Callers leave before their deadline if they receive no event. */
constexpr double max_deadline_fraction = 0.5;

/** Maximum expected time to the first event for which a generation is
    started.
    @param processing_ms  the part of the expected time that is due to the
                          generation itself */
double max_expected_ms(const generation_request& request, double processing_ms)
{
    const double time_to_objective =
        static_cast<double>(request.time_to_objective.count());
    const double time_to_deadline =
        static_cast<double>(request.time_to_deadline.count());
    // The objective has been missed, but a late response is still useful.
    if (time_to_objective <= 0)
        return time_to_deadline / 2;
    return std::min(std::max(usable_objective_fraction * time_to_objective,
                             (1 + max_relative_wait) * processing_ms),
                    max_deadline_fraction * time_to_deadline);
}

bool has_decode_engine(const target_list& targets,
                       const scheduling_constraints& constraints,
                       time_point now)
{
    return std::any_of(targets.begin(), targets.end(),
                       [&](const std::shared_ptr<target_view>& target)
                       {
                           return target->is_available(now) &&
                                  constraints.permits_version_of(*target) &&
                                  target->record.stage != target_role::prefill;
                       });
}

} // namespace

engine_estimates with_assumed_speed(const engine_estimates& estimates,
                                    const generation_request& request,
                                    const target_list& targets)
{
    if (estimates.prefill.is_known)
        return estimates;
    double pending_tokens = 0;
    double requests = 1;
    for (const std::shared_ptr<target_view>& target : targets)
    {
        pending_tokens += target->pending_prefill_tokens.level();
        requests += target->requests.level();
    }
    const prompt_info& prompt = *request.prompt;
    double cached_tokens = 0;
    for (std::size_t index = 0; index < prompt.shared_block_count(); ++index)
        cached_tokens += prompt.blocks[index].tokens;
    // The whole prompt may be shared.
    constexpr double min_uncached_fraction = 0.1;
    const double tokens =
        std::max({prompt.prompt_tokens - cached_tokens,
                  min_uncached_fraction * prompt.prompt_tokens,
                  pending_tokens / requests, 1.0});
    engine_estimates assumed = estimates;
    assumed.prefill.ms_per_token =
        objective_ms(request, assumed_prefill_objectives) / tokens;
    return assumed;
}

engine_scheduler::engine_scheduler(const engine_estimates& estimates)
    : estimates_(estimates)
{
}

double
engine_scheduler::direct_compute_ms(const engine_candidate& candidate) const
{
    return candidate.slowness * estimates_.prefill.ms_per_token *
           candidate.pending_prefill_tokens /
           engine_estimates::decode_prefill_fraction;
}

double engine_scheduler::processing_ms(const engine_assignment& assignment,
                                       const generation_request& request) const
{
    if (!assignment.prefill_engine)
        return assignment.prefill_slowness *
               estimates_.direct_prefill_ms(assignment.pending_prefill_tokens);
    return assignment.prefix_fetch_ms +
           assignment.prefill_slowness *
               estimates_.prefill.milliseconds(
                   assignment.pending_prefill_tokens) +
           estimates_.transfer.milliseconds(request.prompt->prompt_tokens);
}

engine_assignment engine_scheduler::find_cheapest(
    const target_list& targets, const generation_request& request,
    const engine_properties& engine, time_point now) const
{
    const decode_engine_selector decode_engines(estimates_, engine);
    engine_assignment assignment;
    if (request.prefilled_by)
    {
        const engine_candidate decode_engine = decode_engines.select(
            targets, request, request.prefilled_by.get(), now);
        assignment.decode_engine = decode_engine.target;
        assignment.decode_baseline_ms = decode_engine.baseline_ms;
        assignment.expected_ms = decode_engine.expected_ms;
        return assignment;
    }

    const engine_candidate direct =
        decode_engines.select(targets, request, nullptr, now);
    assignment.decode_engine = direct.target;
    assignment.decode_baseline_ms = direct.baseline_ms;
    assignment.expected_ms = direct.expected_ms;
    assignment.pending_prefill_tokens = direct.pending_prefill_tokens;
    assignment.queued_prefill_tokens = direct.queued_prefill_tokens;
    assignment.prefill_slowness = direct.slowness;
    const bool is_short_prefill =
        direct.target &&
        (direct.pending_prefill_tokens <= 0 ||
         (estimates_.prefill.is_known &&
          direct_compute_ms(direct) <=
              objective_ms(request, max_direct_prefill_objectives)));
    if (!request.may_transfer_kv)
        return assignment;

    const engine_candidate prefill_engine =
        prefill_engine_selector(estimates_, engine)
            .select(targets, request, now);
    if (!prefill_engine.target)
        return assignment;
    const engine_candidate decode_engine = decode_engines.select(
        targets, request, prefill_engine.target.get(), now);
    const bool is_better =
        !is_short_prefill ||
        prefill_engine.cost_ms + decode_engine.cost_ms < direct.cost_ms;
    if (!decode_engine.target || !is_better)
        return assignment;
    assignment.prefill_engine = prefill_engine.target;
    assignment.decode_engine = decode_engine.target;
    assignment.expected_ms =
        prefill_engine.expected_ms + decode_engine.expected_ms;
    assignment.prefill_baseline_ms = prefill_engine.baseline_ms;
    assignment.decode_baseline_ms = decode_engine.baseline_ms;
    assignment.prefix_source = prefill_engine.prefix_source;
    assignment.pending_prefill_tokens = prefill_engine.pending_prefill_tokens;
    assignment.queued_prefill_tokens = prefill_engine.queued_prefill_tokens;
    assignment.prefix_fetch_ms = prefill_engine.prefix_fetch_ms;
    assignment.prefill_slowness = prefill_engine.slowness;
    return assignment;
}

engine_assignment engine_scheduler::schedule(const target_list& targets,
                                             const generation_request& request,
                                             const engine_properties& engine,
                                             time_point now,
                                             scheduling_failure& reason) const
{
    engine_assignment assignment = find_cheapest(targets, request, engine, now);
    if (!assignment.decode_engine)
    {
        reason = has_decode_engine(targets, request.constraints, now)
                     ? scheduling_failure::busy
                     : scheduling_failure::no_target;
        return assignment;
    }
    if (assignment.expected_ms >
        max_expected_ms(request, processing_ms(assignment, request)))
    {
        reason = scheduling_failure::busy;
        assignment.prefill_engine = nullptr;
        assignment.decode_engine = nullptr;
    }
    return assignment;
}

} // namespace hibiscusferry
