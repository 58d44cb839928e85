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

bool is_server_error(unsigned status)
{
    return status >= 500;
}

} // namespace

request_forwarder::next_step
request_forwarder::relay_response(target_exchange& upstream,
                                  target_view& target, target_load_guard& work,
                                  boost::asio::yield_context yield)
{
    const bool is_stream = upstream.parsed_response().is_event_stream &&
                           upstream.head().status == 200;
    if (is_stream)
        return relay_stream(upstream, target, work, yield);
    return relay_buffered(upstream, target, yield);
}

request_forwarder::next_step
request_forwarder::relay_buffered(target_exchange& upstream,
                                  target_view& target,
                                  boost::asio::yield_context yield)
{
    const result<std::string> body = upstream.read_body(yield);
    if (!body)
    {
        context_.last_error = "response truncated: " + body.error().message();
        if (!context_.is_caller_disconnected)
            services_.fleet.record_outcome(target, exchange_outcome::broken,
                                           context_.request.id);
        return handle_failed_attempt(attempt_result::unknown, target);
    }
    upstream.finish();
    http_response response;
    response.status = upstream.head().status;
    response.headers =
        services_.targets.headers_for_caller(upstream.head().headers);
    response.body = body.value();
    services_.fleet.record_outcome(target,
                                   is_server_error(response.status)
                                       ? exchange_outcome::failed
                                       : exchange_outcome::responded,
                                   context_.request.id);
    if (is_server_error(response.status) &&
        context_.matched_route->is_safe_to_retry() &&
        !context_.has_stream_started)
    {
        context_.last_error =
            "target responded with " + std::to_string(response.status);
        failed_response_ = {std::move(response), target.record.id};
        context_.possible_run_targets.insert(target.record.id);
        context_.excluded.push_back(target.record.id);
        return next_step::may_have_run;
    }
    if (context_.has_stream_started)
        return handle_failed_attempt(attempt_result::unknown, target);

    const result<void> sent = exchange_.respond(response, yield);
    if (!sent || context_.is_caller_disconnected)
    {
        log_completion(event_number::request_abandoned, "caller_gone");
        return next_step::completed;
    }
    context_.time_to_first_event = context_.elapsed(services_.core.now());
    log_completion(event_number::request_finished,
                   std::to_string(response.status));
    return next_step::completed;
}

request_forwarder::next_step
request_forwarder::relay_stream(target_exchange& upstream, target_view& target,
                                target_load_guard& work,
                                boost::asio::yield_context yield)
{
    const bool may_resume = context_.matched_route->is_safe_to_retry();
    const std::chrono::milliseconds read_timeout =
        may_resume ? std::max<std::chrono::milliseconds>(
                         resume_timeout_gaps *
                             context_.matched_route->event_gap_objective,
                         min_first_byte_timeout)
                   : context_.matched_route->time_limit;
    event_stream_parser parser;
    // A stalled target may still send a byte now and then, so the timeout ends
    // with the next complete event.
    time_point event_due = services_.core.now() + read_timeout;
    for (;;)
    {
        const std::chrono::milliseconds time_left =
            std::chrono::duration_cast<std::chrono::milliseconds>(
                event_due - services_.core.now());
        if (time_left <= std::chrono::milliseconds(0))
            return handle_stream_failure(
                target, make_error_code(http_error::timed_out));
        const result<std::string> chunk = upstream.read_some(time_left, yield);
        if (!chunk)
            return handle_stream_failure(target, chunk.error());
        work.prefill_finished();
        if (chunk.value().empty())
            break;
        if (!parser.add(chunk.value()) ||
            !upstream.reserve_memory(parser.remainder().size()))
            return handle_stream_failure(
                target, make_error_code(http_error::too_large));
        for (std::optional<server_sent_event> event = parser.next(); event;
             event = parser.next())
        {
            event_due = services_.core.now() + read_timeout;
            if (!forward_event(*event, upstream, yield))
                return handle_stream_failure(
                    target, make_error_code(http_error::broken));
        }
    }
    // The response ended in the middle of an event, or without any event.
    if (parser.is_within_event() || !context_.has_stream_started)
        return handle_stream_failure(target,
                                     make_error_code(http_error::broken));
    if (!parser.remainder().empty() &&
        !exchange_.write_chunk(parser.remainder(), yield))
        context_.is_caller_disconnected = true;
    upstream.finish();
    services_.fleet.record_outcome(target, exchange_outcome::responded,
                                   context_.request.id);
    const result<void> end_result = exchange_.end_stream(yield);
    if (!end_result)
        log_completion(event_number::request_abandoned, "caller_gone");
    else
        log_completion(event_number::request_finished, "200");
    return next_step::completed;
}

bool request_forwarder::forward_event(const server_sent_event& event,
                                      target_exchange& upstream,
                                      boost::asio::yield_context yield)
{
    if (!context_.has_stream_started)
    {
        const http_response_head head{
            upstream.head().status,
            services_.targets.headers_for_caller(upstream.head().headers)};
        if (!exchange_.begin_stream(head, yield))
        {
            context_.is_caller_disconnected = true;
            return false;
        }
        context_.has_stream_started = true;
        context_.time_to_first_event = context_.elapsed(services_.core.now());
    }
    if (!exchange_.write_chunk(event.raw, yield))
    {
        context_.is_caller_disconnected = true;
        return false;
    }
    if (!event.id.empty())
        context_.last_event_id = event.id;
    return true;
}

request_forwarder::next_step
request_forwarder::handle_stream_failure(target_view& target,
                                         std::error_code error)
{
    context_.last_error = "stream interrupted: " + error.message();
    if (!context_.is_caller_disconnected)
        services_.fleet.record_outcome(target,
                                       error == http_error::timed_out
                                           ? exchange_outcome::timed_out
                                           : exchange_outcome::broken,
                                       context_.request.id);
    return handle_failed_attempt(attempt_result::unknown, target);
}

} // namespace hibiscusferry
