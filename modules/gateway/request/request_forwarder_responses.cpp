#include "gateway/request/request_forwarder.hpp"

#include "gateway/request/request_limits.hpp"

#include <algorithm>

// The part of request_forwarder that carries a target's answer back.

namespace hibiscusferry
{

namespace
{

/** A resumable stream is resumed elsewhere after a pause of this many times
    the route's longest pause. */
constexpr int pauses_until_resumed = 4;

bool is_server_error(unsigned status)
{
    return status >= 500;
}

} // namespace

request_forwarder::next_step
request_forwarder::deliver(target_exchange& offered, target_view& target,
                           target_load_guard& work,
                           boost::asio::yield_context yield)
{
    const bool is_stream =
        offered.answer().is_event_stream && offered.head().status == 200;
    if (is_stream)
        return relay_stream(offered, target, work, yield);
    return deliver_whole(offered, target, yield);
}

request_forwarder::next_step
request_forwarder::deliver_whole(target_exchange& offered, target_view& target,
                                 boost::asio::yield_context yield)
{
    const result<std::string> body = offered.read_body(yield);
    if (!body)
    {
        context_.last_problem = "answer broke off: " + body.error().message();
        if (!context_.is_caller_gone)
            services_.fleet.record_outcome(target, exchange_outcome::broken,
                                           context_.request.id);
        return after_offer(attempt_result::unknown, target);
    }
    offered.finish();
    http_response response;
    response.status = offered.head().status;
    response.headers =
        services_.targets.headers_for_caller(offered.head().headers);
    response.body = body.value();
    services_.fleet.record_outcome(target,
                                   is_server_error(response.status)
                                       ? exchange_outcome::failed
                                       : exchange_outcome::answered,
                                   context_.request.id);
    if (is_server_error(response.status) &&
        context_.found->is_safe_to_retry() && !context_.has_stream_begun)
    {
        context_.last_problem =
            "target answered " + std::to_string(response.status);
        failed_answer_ = {std::move(response), target.record.id};
        context_.ran_at.insert(target.record.id);
        context_.excluded.push_back(target.record.id);
        return next_step::may_have_run;
    }
    if (context_.has_stream_begun)
        return after_offer(attempt_result::unknown, target);

    const result<void> sent = exchange_.respond(response, yield);
    if (!sent || context_.is_caller_gone)
    {
        log_end(event_number::request_abandoned, "caller_gone");
        return next_step::ended;
    }
    context_.first_event_after = context_.elapsed(services_.core.now());
    log_end(event_number::request_finished, std::to_string(response.status));
    return next_step::ended;
}

request_forwarder::next_step
request_forwarder::relay_stream(target_exchange& offered, target_view& target,
                                target_load_guard& work,
                                boost::asio::yield_context yield)
{
    const bool may_resume = context_.found->is_safe_to_retry();
    const std::chrono::milliseconds silence_limit =
        may_resume
            ? std::max<std::chrono::milliseconds>(
                  pauses_until_resumed * context_.found->event_gap_objective,
                  shortest_first_byte_limit)
            : context_.found->time_limit;
    event_stream_parser parser;
    std::string received;
    for (;;)
    {
        const result<std::string> piece =
            offered.read_some(silence_limit, yield);
        if (!piece)
            return stream_interrupted(target, piece.error());
        work.prefill_finished();
        if (piece.value().empty())
            break;
        if (!parser.add(piece.value()))
            return stream_interrupted(target,
                                      make_error_code(http_error::too_large));
        received += piece.value();
        for (std::optional<server_sent_event> event = parser.next(); event;
             event = parser.next())
        {
            received.erase(0, std::min(received.size(), event->raw.size()));
            if (!pass_event(*event, offered, yield))
                return stream_interrupted(target,
                                          make_error_code(http_error::broken));
        }
    }
    // The target stopped in the middle of an event.
    if (!received.empty() || !context_.has_stream_begun)
        return stream_interrupted(target, make_error_code(http_error::broken));
    offered.finish();
    services_.fleet.record_outcome(target, exchange_outcome::answered,
                                   context_.request.id);
    const result<void> ended = exchange_.end_stream(yield);
    if (!ended)
        log_end(event_number::request_abandoned, "caller_gone");
    else
        log_end(event_number::request_finished, "200");
    return next_step::ended;
}

bool request_forwarder::pass_event(const server_sent_event& event,
                                   target_exchange& offered,
                                   boost::asio::yield_context yield)
{
    if (!context_.has_stream_begun)
    {
        const http_response_head head{
            offered.head().status,
            services_.targets.headers_for_caller(offered.head().headers)};
        if (!exchange_.begin_stream(head, yield))
        {
            context_.is_caller_gone = true;
            return false;
        }
        context_.has_stream_begun = true;
        context_.first_event_after = context_.elapsed(services_.core.now());
    }
    if (!exchange_.write_chunk(event.raw, yield))
    {
        context_.is_caller_gone = true;
        return false;
    }
    if (!event.id.empty())
        context_.last_event = event.id;
    return true;
}

request_forwarder::next_step
request_forwarder::stream_interrupted(target_view& target,
                                      std::error_code error)
{
    context_.last_problem = "stream broke off: " + error.message();
    if (!context_.is_caller_gone)
        services_.fleet.record_outcome(target,
                                       error == http_error::timed_out
                                           ? exchange_outcome::silent
                                           : exchange_outcome::broken,
                                       context_.request.id);
    return after_offer(attempt_result::unknown, target);
}

} // namespace hibiscusferry
