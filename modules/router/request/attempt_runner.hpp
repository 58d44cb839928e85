#ifndef HIBISCUSFERRY_ROUTER_REQUEST_ATTEMPT_RUNNER_HPP
#define HIBISCUSFERRY_ROUTER_REQUEST_ATTEMPT_RUNNER_HPP

#include "http/http.hpp"
#include "router/request/caller_request.hpp"
#include "router/service/served_service.hpp"
#include "routing/routing.hpp"
#include <boost/asio/spawn.hpp>
#include <memory>
#include <optional>
#include <string>

namespace hibiscusferry
{

/** A response of which only the head has been read; its attempt id matches the
    request. */
struct pending_response
{
    std::unique_ptr<http_connection> connection;
    http_response_head head;
};

/** The result of opening an attempt: a pending response, or the completion of
    the attempt. */
struct attempt_open_result
{
    std::optional<pending_response> response;
    attempt_completion completion = attempt_completion::not_connected;
    /** The state reported by the target, when it refused. */
    target_state reported_state = target_state::serving;
};

/** Sends requests to targets and reads the heads of their responses.

    There is one per router, used from a single thread. Its functions suspend
    the calling coroutine.
*/
class attempt_runner
{
public:
    attempt_runner(process_core& core, attempt_ledger& ledger);

    /** Sends a request for an attempt already begun in the ledger, and reads
        the head of the response.
        @param deadline  the time by which the head must have been read */
    attempt_open_result open(const std::string& attempt,
                             const http_endpoint& endpoint,
                             const http_request& message, bool is_idempotent,
                             time_point deadline,
                             boost::asio::yield_context yield);

    /** Reads the body of a response that is not streamed.
        @returns the completion of the attempt; `response` is set when it was
                 received completely */
    attempt_completion read_body(pending_response& pending,
                                 http_response& response, time_point deadline,
                                 boost::asio::yield_context yield);

    /** Returns a connection whose exchange is complete to the pool. */
    void release(pending_response& pending);

private:
    process_core& core_;
    attempt_ledger& ledger_;
};

/** Returns the time from `now` until `moment`, at least one millisecond. */
std::chrono::milliseconds time_until(time_point moment, time_point now);

} // namespace hibiscusferry

#endif
