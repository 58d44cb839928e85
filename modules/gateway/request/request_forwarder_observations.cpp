#include "gateway/request/request_forwarder.hpp"

// The part of request_forwarder that records the durations from which the speed
// of engines is learned.

namespace hibiscusferry
{

void request_forwarder::record_step(const std::shared_ptr<target_view>& target,
                                    double expected_ms,
                                    std::chrono::nanoseconds duration,
                                    observed_delay& stage,
                                    std::optional<timed_step>& step)
{
    const time_point now = services_.core.now();
    const std::chrono::milliseconds objective =
        context_.matched_route->latency_objective;
    target->delay.add(expected_ms, duration, objective, now);
    stage.add(expected_ms, duration, objective, now);
    step = {target->record.id,
            std::chrono::milliseconds(static_cast<int>(expected_ms)),
            std::chrono::duration_cast<std::chrono::milliseconds>(duration),
            assignment_.pending_prefill_tokens,
            assignment_.queued_prefill_tokens};
}

void request_forwarder::observe_prefill(const engine_assignment& assignment,
                                        std::chrono::nanoseconds duration)
{
    const double tokens =
        assignment.queued_prefill_tokens + assignment.pending_prefill_tokens;
    if (assignment.pending_prefill_tokens <= 0)
        return;
    const std::chrono::duration<double, std::milli> fetch(
        assignment.prefix_fetch_ms);
    const time_point now = services_.core.now();
    // The estimates are those of an engine at its usual speed.
    const double slowness = assignment.prefill_engine->slowness.expected(now);
    services_.fleet.performance(context_.service)
        .add(engine_step::prefill, tokens, assignment.pending_prefill_tokens,
             (duration - fetch) / slowness,
             assignment.pending_prefill_tokens / tokens, now);
}

void request_forwarder::observe_decode_start(
    const engine_assignment& assignment, bool was_transferred,
    std::chrono::nanoseconds duration)
{
    if (!was_transferred)
        return;
    const bool is_same_zone =
        context_.kv_cache_engine->record.availability_zone ==
        assignment.decode_engine->record.availability_zone;
    const double tokens = context_.request.prompt->prompt_tokens;
    services_.fleet.performance(context_.service)
        .add(engine_step::transfer, tokens * (is_same_zone ? 1 : 2), tokens,
             duration, 1, services_.core.now());
}

void request_forwarder::observe_completion(const target_attempt& current)
{
    if (!is_generation() || context_.is_caller_disconnected ||
        current.upstream.was_silent())
        return;
    const double tokens = context_.request.prompt->output_tokens;
    const time_point now = services_.core.now();
    engine_performance& performance =
        services_.fleet.performance(context_.service);
    const double slowness = current.target->slowness.expected(now);
    using milliseconds_as_double = std::chrono::duration<double, std::milli>;
    performance.add(engine_step::completion, tokens, tokens,
                    milliseconds_as_double(now - *current.response_start) /
                        slowness,
                    1, now);
    if (current.is_transferred)
        performance.add(engine_step::decode, tokens, tokens,
                        milliseconds_as_double(now - current.start) / slowness,
                        1, now);
}

void request_forwarder::observe_event(target_attempt& current,
                                      time_point received_at)
{
    const std::optional<time_point> previous = current.event_received_at;
    current.event_received_at = received_at;
    const bool is_observable =
        is_generation() && previous && !current.upstream.was_silent();
    if (!is_observable)
        return;
    // Events in one piece have no gap of their own. If forwarding the previous
    // event took long, the caller reads slowly, and the gap says little about
    // the engine.
    const std::chrono::nanoseconds gap = received_at - *previous;
    const std::chrono::nanoseconds forwarding =
        current.event_forwarded_at - *previous;
    if (gap <= std::chrono::nanoseconds(0) || 2 * forwarding > gap)
        return;
    const double slowness = current.target->slowness.expected(received_at);
    current.target->event_gaps.add(gap, slowness, received_at);
    services_.fleet.delays(context_.service)
        .event_gaps.add(gap, slowness, received_at);
    services_.core.metrics()
        .durations_of("hibiscusferry_event_gap_seconds",
                      "route=\"" + context_.matched_route->name + "\"")
        .add(gap);
}

void request_forwarder::observe_response_start(const target_attempt& current)
{
    current.target->cached_prefixes.add(
        *context_.request.prompt,
        context_.properties->engine->kv_capacity_tokens);
    // A silence says nothing about the speed of an engine.
    if (current.upstream.was_silent())
        return;
    const std::chrono::nanoseconds duration =
        *current.response_start - current.start;
    record_step(current.target, current.assignment.decode_baseline_ms, duration,
                services_.fleet.delays(context_.service).decode_engines,
                context_.decode_step);
    observe_decode_start(current.assignment, current.is_transferred, duration);
}

void request_forwarder::report_broken_attempt(const target_attempt& current,
                                              boost::asio::yield_context yield)
{
    // A target that has sent a second event crashed for another reason than the
    // beginning of this response.
    if (current.events > 1)
        return;
    const bool may_retry =
        !is_generation() && context_.matched_route->is_safe_to_retry();
    if (may_retry)
        context_.has_crashed_target =
            services_.quarantine.investigate_broken_attempt(
                current.target->record, context_.request, context_.is_probe,
                yield);
    else
        services_.quarantine.report_broken_attempt(
            current.target->record, context_.request, context_.is_probe);
}

void request_forwarder::report_completed_request()
{
    services_.quarantine.report_completion(context_.request);
}

} // namespace hibiscusferry
