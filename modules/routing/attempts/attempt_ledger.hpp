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

/** What a caller is told of a call that did not succeed. */
enum class call_outcome
{
    /** Certainly not run: no byte left for a target, or every target that
        got one said so itself. */
    not_run,
    /** It may or may not have run. */
    unknown,
    /** It ran, or began to, and the target reported an error. */
    failed,
    /** It succeeded. */
    answered
};

/** "not_run", "unknown", "failed" or "answered", as callers see it. */
std::string_view to_text(call_outcome outcome);

/** How an attempt at a target ended. */
enum class attempt_completion
{
    answered,            ///< a whole answer with the attempt's own id
    server_error,        ///< a whole error answer that is not a refusal
    refused,             ///< X-Not-Run: true, with the attempt's own id
    not_connected,       ///< no connection could be had
    connection_lost,     ///< it broke before the answer was complete
    timed_out,           ///< the attempt's time was over
    attempt_id_mismatch, ///< the answer carried another attempt's id, or none
    broken_stream,       ///< the stream could not be resumed
    caller_gone          ///< the caller went away
};

/** A request as the ledger has to know it. */
struct ledger_request
{
    std::string id;
    bool idempotent = false;
    time_point deadline;
};

/** What follows from the end of an attempt. */
struct attempt_verdict
{
    /** The outcome over all attempts of the request so far. */
    call_outcome outcome = call_outcome::unknown;
    /** Whether it may be sent again; to another target than those tried and
        over another connection. Take the retry from the retry_budget first. */
    bool may_retry = false;
    /** Whether the attempt's connection can be used for other exchanges. */
    bool connection_reusable = false;
    /** Whether the failure may be the target's doing. */
    bool counts_against_target = false;
};

/** How an answer's attempt id compares with the one sent. */
enum class echo_check
{
    matches,
    unmatched ///< drop the answer, close the connection: end with
              ///< attempt_id_mismatch
};

/** Knows the attempts of every open request, and with that what the caller
    may be told and whether another attempt is allowed.

    A request is retried only if it is idempotent, or certainly did not run;
    only while nothing of an answer has been sent to its caller; and only
    inside its deadline. An unknown outcome of a call that is not repeatable
    stays unknown: it is never sent again.

    One per router, used from one thread. Holds the open requests only.
*/
class attempt_ledger
{
public:
    /** A retry needs at least this much time before the deadline. */
    static constexpr std::chrono::milliseconds min_time_for_retry{50};

    /** Begins a request; its id must not be open yet. */
    void open(const ledger_request& request);

    /** Begins an attempt.
        @param attempt  an id never used before
        @returns false when the request may not be sent (again): it is not
                 open, has an attempt running, or may not be retried */
    bool begin(const std::string& request, const std::string& attempt,
               const std::string& target, time_point now);

    /** The first byte is about to leave. From here on the call may run. */
    void send_started(const std::string& attempt);

    /** The first byte of an answer is about to be sent to the caller. */
    void response_started(const std::string& request);

    /** Compares the id that an answer repeats with the attempt's. */
    echo_check check_echo(const std::string& attempt,
                          std::string_view echoed) const;

    /** An attempt has ended; late ends of unknown attempts are counted as
        stray and change nothing. */
    attempt_verdict end(const std::string& attempt, attempt_completion how,
                        time_point now);

    /** The targets tried for a request. */
    std::vector<std::string> tried_targets(const std::string& request) const;

    /** The outcome to tell if the request ended now, without an answer. An
        attempt whose first byte has left and that has not ended makes it
        unknown. */
    call_outcome current_outcome(const std::string& request) const;

    /** The request's final answer has been given. */
    void close(const std::string& request);

    /** Requests that are open. */
    std::size_t size() const;

    /** Answers and ends that belonged to no attempt. */
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
        /** The outcome of the attempts that have ended. */
        call_outcome outcome = call_outcome::not_run;
        std::string running_attempt;
        bool response_started = false;
    };

    static call_outcome outcome_of(const attempt_state& attempt,
                                   attempt_completion how);
    static call_outcome worse_of(call_outcome former, call_outcome latest);
    static bool may_send(const request_state& state, time_point now);

    std::unordered_map<std::string, request_state> requests_;
    std::unordered_map<std::string, attempt_state> attempts_;
    std::uint64_t strays_ = 0;
};

} // namespace hibiscusferry

#endif
