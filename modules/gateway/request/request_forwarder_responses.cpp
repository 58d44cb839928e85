#include "gateway/request/request_forwarder.hpp"

#include "gateway/request/request_limits.hpp"

#include <algorithm>

// The part of request_forwarder that relays the response of a target.

namespace hibiscusferry
{

namespace
{

/** A resumable stream is resumed at another target after a pause of this many
    times the route's objective for the gap between events. */
constexpr int resume_timeout_gaps = 4;

} // namespace

request_forwarder::next_step
request_forwarder::relay_response(std::unique_ptr<target_attempt> current,
                                  boost::asio::yield_context yield)
{
    const bool is_stream =
        current->upstream.parsed_response().is_event_stream &&
        current->upstream.head().status == 200;
    if (is_stream)
    {
        log_resumption();
        if (context_.has_stream_started)
            context_.progress.begin_continuation();
        return relay_stream(std::move(current), yield);
    }
    return relay_buffered(*current, yield);
}

request_forwarder::next_step
request_forwarder::relay_buffered(target_attempt& current,
                                  boost::asio::yield_context yield)
{
    target_view& target = *current.target;
    const result<std::string> body = current.upstream.read_body(yield);
    if (!body)
    {
        context_.last_error = "response truncated: " + body.error().message();
        if (!context_.is_caller_disconnected)
        {
            services_.fleet.record_outcome(target, exchange_outcome::broken,
                                           context_.request.id);
            if (body.error() == http_error::broken)
                report_broken_attempt(current, yield);
        }
        return handle_failed_attempt(attempt_result::unknown, current);
    }
    current.upstream.finish();
    http_response response;
    response.status = current.upstream.head().status;
    response.headers =
        services_.targets.headers_for_caller(current.upstream.head().headers);
    response.body = body.value();
    services_.fleet.record_outcome(target,
                                   is_server_error(response.status)
                                       ? exchange_outcome::failed
                                       : exchange_outcome::responded,
                                   context_.request.id);
    if (current.upstream.has_failed() &&
        context_.matched_route->is_safe_to_retry() &&
        !context_.has_stream_started)
    {
        context_.last_error =
            "target responded with " + std::to_string(response.status);
        failed_response_ = {std::move(response), target.record.id};
        context_.last_evidence = current.upstream.evidence();
        context_.possible_run_targets.insert(target.record.id);
        context_.excluded.push_back(target.record.id);
        return next_step::may_have_run;
    }
    if (context_.has_stream_started)
        return handle_failed_attempt(attempt_result::unknown, current);
    if (current.upstream.parsed_response().promises_not_run)
    {
        context_.last_error = "target responded with " +
                              std::to_string(response.status) +
                              ", but may have run the request";
        return handle_failed_attempt(attempt_result::unknown, current);
    }

    context_.last_evidence = current.upstream.evidence();
    if (current.upstream.has_failed())
        count_relayed_failure(response.status);
    const result<void> sent = exchange_.respond(response, yield);
    if (!sent || context_.is_caller_disconnected)
    {
        log_completion(event_number::request_abandoned, "caller_gone");
        return next_step::completed;
    }
    observe_completion(current);
    if (!is_server_error(response.status))
        report_completed_request();
    context_.time_to_first_event = context_.elapsed(services_.core.now());
    log_completion(event_number::request_finished,
                   std::to_string(response.status));
    return next_step::completed;
}

request_forwarder::next_step
request_forwarder::relay_stream(std::unique_ptr<target_attempt> current,
                                boost::asio::yield_context yield)
{
    const bool may_resume = context_.matched_route->is_safe_to_retry();
    const std::chrono::milliseconds read_timeout =
        may_resume ? std::max<std::chrono::milliseconds>(
                         resume_timeout_gaps *
                             context_.matched_route->event_gap_objective,
                         min_first_byte_timeout)
                   : context_.matched_route->time_limit;
    // A stalled target may still send a byte now and then, so the timeout ends
    // with the next complete event.
    time_point event_due = services_.core.now() + read_timeout;
    for (;;)
    {
        const time_point now = services_.core.now();
        if (context_.time_left(now) <= std::chrono::milliseconds(0))
            return handle_stream_failure(
                *current, make_error_code(http_error::timed_out), yield);
        if (now >= event_due)
        {
            current->upstream.record_silence();
            log_silence(*current);
            if (has_alternative_to(*current->target))
                return suspend(std::move(current));
            event_due = now + read_timeout;
        }
        const result<std::string> chunk = current->upstream.read_some(
            std::chrono::ceil<std::chrono::milliseconds>(event_due - now),
            yield);
        if (!chunk && chunk.error() == http_error::timed_out &&
            !context_.is_caller_disconnected)
            continue;
        if (!chunk)
            return handle_stream_failure(*current, chunk.error(), yield);
        const time_point received_at = services_.core.now();
        current->work.prefill_finished();
        if (chunk.value().empty())
            break;
        if (!current->parser.add(chunk.value()) ||
            !current->upstream.reserve_memory(
                current->parser.remainder().size()))
            return handle_stream_failure(
                *current, make_error_code(http_error::too_large), yield);
        for (std::optional<server_sent_event> event = current->parser.next();
             event; event = current->parser.next())
        {
            observe_event(*current, received_at);
            const result<void> forwarded =
                forward_event(*event, *current, yield);
            if (!forwarded)
                return handle_stream_failure(*current, forwarded.error(),
                                             yield);
            ++current->events;
            current->event_forwarded_at = services_.core.now();
            event_due = current->event_forwarded_at + read_timeout;
        }
    }
    return complete_stream(*current, yield);
}

request_forwarder::next_step
request_forwarder::complete_stream(target_attempt& current,
                                   boost::asio::yield_context yield)
{
    // Only the rest of a stream may be without events.
    const bool is_empty =
        !context_.has_stream_started && !context_.is_resumption();
    if (current.parser.is_within_event() || is_empty ||
        !context_.progress.may_end() || !current.upstream.confirm_end(yield))
        return handle_stream_failure(
            current, make_error_code(http_error::broken), yield);
    if (!begin_stream(current, yield) ||
        !exchange_.write_chunk(current.parser.remainder(), yield))
        context_.is_caller_disconnected = true;
    current.upstream.finish();
    services_.fleet.record_outcome(*current.target, exchange_outcome::responded,
                                   context_.request.id);
    observe_completion(current);
    report_completed_request();
    const result<void> end_result = exchange_.end_stream(yield);
    if (!end_result)
        log_completion(event_number::request_abandoned, "caller_gone");
    else
        log_completion(event_number::request_finished, "200");
    return next_step::completed;
}

void request_forwarder::record_stream_version(const target_attempt& current)
{
    if (!context_.stream_software_version)
        context_.stream_software_version = current.software_version;
    if (!context_.matched_route->is_resumable)
        return;
    // The caller may resume the stream until its own time limit, which may be
    // longer than that of the route.
    const std::chrono::milliseconds time_limit = std::max(
        context_.matched_route->time_limit,
        context_.request.time_left.value_or(std::chrono::milliseconds(0)));
    services_.versions.record(context_.request.id, current.software_version,
                              2 * time_limit);
    // The next resumption names this request or the first one.
    const bool is_first_recorded = context_.stream_version_source == "recorded";
    if (!is_first_recorded)
        services_.versions.record(context_.request.resumed_request_id,
                                  current.software_version, 2 * time_limit);
}

bool request_forwarder::begin_stream(const target_attempt& current,
                                     boost::asio::yield_context yield)
{
    if (context_.has_stream_started)
        return true;
    record_stream_version(current);
    record_usage(services_.core.now());
    const http_response_head& upstream_head = current.upstream.head();
    const http_response_head head{
        upstream_head.status,
        services_.targets.headers_for_caller(upstream_head.headers)};
    if (!exchange_.begin_stream(head, yield))
        return false;
    context_.has_stream_started = true;
    context_.time_to_first_event = context_.elapsed(services_.core.now());
    return true;
}

result<void> request_forwarder::forward_event(const server_sent_event& event,
                                              const target_attempt& current,
                                              boost::asio::yield_context yield)
{
    const stream_progress::placement placement = context_.progress.place(event);
    if (placement == stream_progress::placement::repeated)
        return outcome::success();
    if (placement == stream_progress::placement::unknown)
    {
        log_mismatch(event, current);
        return make_error_code(http_error::bad_message);
    }
    if (!begin_stream(current, yield) ||
        !exchange_.write_chunk(event.raw, yield))
    {
        context_.is_caller_disconnected = true;
        return make_error_code(http_error::broken);
    }
    context_.progress.advance(event);
    return outcome::success();
}

void request_forwarder::log_mismatch(const server_sent_event& event,
                                     const target_attempt& current)
{
    services_.core.journal().record(
        event_number::stream_mismatch,
        {{"request", context_.request.id},
         {"target", current.target->record.id},
         {"last_event", context_.progress.last_event_id()},
         {"event", event.id}});
}

request_forwarder::next_step
request_forwarder::handle_stream_failure(target_attempt& current,
                                         std::error_code error,
                                         boost::asio::yield_context yield)
{
    context_.last_error = "stream interrupted: " + error.message();
    if (!context_.is_caller_disconnected && error == http_error::timed_out)
        current.upstream.record_silence();
    else if (!context_.is_caller_disconnected)
    {
        services_.fleet.record_outcome(
            *current.target, exchange_outcome::broken, context_.request.id);
        if (error == http_error::broken)
            report_broken_attempt(current, yield);
    }
    return handle_failed_attempt(attempt_result::unknown, current);
}

} // namespace hibiscusferry
