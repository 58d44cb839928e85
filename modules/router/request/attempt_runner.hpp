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

/** An answer that has begun at a target: its head is read and its attempt id
    is the right one. */
struct begun_answer
{
    std::unique_ptr<http_connection> connection;
    http_response_head head;
};

/** How far an attempt came: an answer that has begun, or its end. */
struct attempt_opening
{
    std::optional<begun_answer> answer;
    attempt_completion end = attempt_completion::not_connected;
    /** The target's state, when it refused. */
    target_state refused_as = target_state::serving;
};

/** Sends requests to targets and reads the beginnings of their answers.

    One per router, used from one thread; its functions suspend the calling
    coroutine.
*/
class attempt_runner
{
public:
    attempt_runner(process_core& core, attempt_ledger& ledger);

    /** Sends a request as an attempt that the ledger has begun, and reads
        the answer's head.
        @param until  when the head must have been read */
    attempt_opening open(const std::string& attempt,
                         const http_endpoint& endpoint,
                         const http_request& message, bool is_idempotent,
                         time_point until, boost::asio::yield_context yield);

    /** Reads the rest of a whole answer.
        @returns how the attempt ended; `answer` is set when it is whole */
    attempt_completion read_whole(begun_answer& begun, http_response& answer,
                                  time_point until,
                                  boost::asio::yield_context yield);

    /** Keeps a connection whose exchange came to its end. */
    void release(begun_answer& begun);

private:
    process_core& core_;
    attempt_ledger& ledger_;
};

/** The time until a moment, at least one millisecond. */
std::chrono::milliseconds time_until(time_point moment, time_point now);

} // namespace hibiscusferry

#endif
