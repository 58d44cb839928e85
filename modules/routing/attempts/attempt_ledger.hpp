#ifndef HIBISCUSFERRY_ROUTING_ATTEMPTS_ATTEMPT_LEDGER_HPP
#define HIBISCUSFERRY_ROUTING_ATTEMPTS_ATTEMPT_LEDGER_HPP

#include "foundation/foundation.hpp"
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hibiscusferry
{

/** The outcome of a call as reported to the caller. */
enum class call_outcome
{
    /** The call certainly did not run: no data was sent to a target, or every
        target that received it stated that it did not run it. */
    not_run,
    /** The call may or may not have run. */
    unknown,
    /** The call ran at least in part, and the target reported an error. */
    failed,
    /** The call succeeded. */
    answered
};

/** Returns "not_run", "unknown", "failed" or "answered", as shown to
    callers. */
std::string_view to_text(call_outcome outcome);

/** How an attempt at a target completed. */
enum class attempt_completion
{
    answered,            ///< complete response with the attempt's own id
    server_error,        ///< complete error response that is not a refusal
    refused,             ///< X-Not-Run: true, with the attempt's own id
    not_connected,       ///< no connection could be established
    connection_lost,     ///< the connection was lost before the response was
                         ///< complete
    timed_out,           ///< the attempt's timeout expired
    attempt_id_mismatch, ///< the response has no attempt id or another one
    broken_stream,       ///< the stream could not be resumed
    caller_gone          ///< the caller disconnected
};

/** The properties of a request that the ledger needs. */
struct ledger_request
{
    std::string id;
    bool idempotent = false;
    time_point deadline;
};

/** The consequences of the completion of an attempt. */
struct attempt_verdict
{
    /** The outcome over all attempts of the request so far. */
    call_outcome outcome = call_outcome::unknown;
    /** Whether another attempt may be made, at a target that has not been tried
        and over another connection. Take the retry from the retry_budget
        first. */
    bool may_retry = false;
    /** Whether the attempt's connection can be reused for other exchanges. */
    bool connection_reusable = false;
    /** Whether the target may have caused the failure. */
    bool counts_against_target = false;
};

/** The result of comparing a response's attempt id with the one sent. */
enum class echo_check
{
    matches,
    unmatched ///< discard the response, close the connection, and end the
              ///< attempt with attempt_id_mismatch
};

/** Tracks the attempts of every request in flight, and determines which outcome
    may be reported to the caller and whether a retry is allowed.

    A request is retried only if it is idempotent or certainly did not run, only
    before any part of a response has been sent to its caller, and only within
    its deadline. If the outcome of a call that is not repeatable is unknown, it
    stays unknown and the call is never retried.

    One object per router, to be used from a single thread. Stores only requests
    in flight.
*/
class attempt_ledger
{
public:
    /** The minimum time before the deadline that a retry requires. */
    static constexpr std::chrono::milliseconds min_time_for_retry{50};

    /** Registers a request. Its id must not be registered already. */
    void open(const ledger_request& request);

    /** Starts an attempt.

        @param attempt an id that was never used before
        @returns false if no attempt may be made: the request is not registered,
            already has an attempt in flight, or may not be retried
    */
    bool begin(const std::string& request, const std::string& attempt,
               const std::string& target, time_point now);

    /** The first byte is about to be sent. From now on the call may run. */
    void send_started(const std::string& attempt);

    /** The first byte of a response is about to be sent to the caller. */
    void response_started(const std::string& request);

    /** Compares the attempt id echoed in a response with the attempt's id. */
    echo_check check_echo(const std::string& attempt,
                          std::string_view echoed) const;

    /** An attempt completed. A late completion of an unknown attempt only
        increments unmatched_response_count(). */
    attempt_verdict end(const std::string& attempt,
                        attempt_completion completion, time_point now);

    /** The targets already tried for a request. */
    std::vector<std::string> tried_targets(const std::string& request) const;

    /** The outcome to report if the request ended now without a response. It is
        unknown if the first byte of an attempt in flight has been sent. */
    call_outcome current_outcome(const std::string& request) const;

    /** The final response to the request has been sent. */
    void close(const std::string& request);

    /** The number of registered requests. */
    std::size_t size() const;

    /** The number of responses and completions that belonged to no attempt. */
    std::uint64_t unmatched_response_count() const;

private:
    struct attempt_state
    {
        std::string request;
        std::string target;
        bool sent = false;
    };

    struct request_state
    {
        ledger_request request;
        std::vector<std::string> tried;
        /** The outcome of the completed attempts. */
        call_outcome outcome = call_outcome::not_run;
        std::string running_attempt;
        bool response_started = false;
    };

    static call_outcome outcome_of(const attempt_state& attempt,
                                   attempt_completion completion);
    static call_outcome combine_outcomes(call_outcome former,
                                         call_outcome latest);
    static bool may_send(const request_state& state, time_point now);

    std::unordered_map<std::string, request_state> requests_;
    std::unordered_map<std::string, attempt_state> attempts_;
    std::uint64_t unmatched_responses_ = 0;
};

} // namespace hibiscusferry

#endif
