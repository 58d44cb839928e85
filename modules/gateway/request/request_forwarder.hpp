#ifndef HIBISCUSFERRY_GATEWAY_REQUEST_REQUEST_FORWARDER_HPP
#define HIBISCUSFERRY_GATEWAY_REQUEST_REQUEST_FORWARDER_HPP

#include "gateway/request/target_attempt.hpp"
#include <memory>
#include <optional>
#include <random>

namespace hibiscusferry
{

/** Serves one request of a caller from its arrival to its completion.

    Schedules the request on a target, sends it there and relays the response.
    Retries at another target only if that is safe and within the retry budget.
    A request that cannot be served gets its final response at once: a refusal
    with a Retry-After header if no target can have run it, otherwise an error.
*/
class request_forwarder
{
public:
    request_forwarder(const gateway_services& services, http_exchange& exchange,
                      std::mt19937_64& random);

    /** Returns when the caller has its response or has disconnected. */
    void serve(boost::asio::yield_context yield);

private:
    /** The step that follows an attempt. */
    enum class next_step
    {
        completed,   ///< the caller has its response, or has disconnected
        prefilled,   ///< the prompt is prefilled; a decode engine comes next
        suspended,   ///< the target is silent; schedule again beside it
        retry,       ///< schedule again; the request has not run there
        may_have_run ///< schedule again, but only if the request is repeatable
    };

    /** An error response of a target; sent to the caller if no other target
        succeeds. */
    struct failed_response
    {
        http_response response;
        std::string target;
    };

    bool admit(boost::asio::yield_context yield);
    /** Finds the workspace of the caller, and hides its key from targets.
        Refuses the request if its route needs a key and it has no valid one. A
        request is authenticated once: it goes on if its key is taken away
        later, because only requests sent after that have to be rejected.
        @returns whether the request may go on */
    bool authenticate(boost::asio::yield_context yield);
    void run(boost::asio::yield_context yield);
    /** Finds the software version at which a stream that the caller resumes may
        continue; refuses the request if it cannot be found.
        @returns whether the request may be scheduled */
    bool find_stream_version(boost::asio::yield_context yield);
    /** Finds the version of a resumed stream of which there is no record, if
        all targets of the service have had the same one.
        @param begun_by  a time at which the stream had begun
        @param version   set if the version is known
        @returns the source of the version, for the log */
    std::string infer_stream_version(time_point begun_by,
                                     std::optional<std::string>& version,
                                     boost::asio::yield_context yield);
    /** Refuses a request that is suspected of crashing targets.
        @returns whether the request may be scheduled */
    bool check_quarantine(boost::asio::yield_context yield);
    /** Reports a broken connection to a target that had not responded, or was
        beginning to. Finds out whether it has crashed before a request that
        may be sent to another target is. */
    void report_broken_attempt(const target_attempt& current,
                               boost::asio::yield_context yield);
    void report_completed_request();
    engine_assignment schedule(scheduling_failure& reason);
    /** Schedules the request at targets whose limits admit it. */
    engine_assignment schedule_within_limits(scheduling_failure& reason);
    /** Passes over all limited targets that have not admitted the request. */
    void exclude_limited_targets(time_point now);
    /** Time until the limited targets can be expected to admit the request. */
    std::chrono::milliseconds limit_backlog() const;
    /** Time until the first target that wants no requests accepts them again;
        zero if there is none. */
    std::chrono::milliseconds refusal_time_left() const;
    scheduling_constraints constraints() const;
    /** Whether the request generates tokens at an engine. */
    bool is_generation() const;
    std::chrono::milliseconds first_byte_timeout(bool is_repeatable) const;

    next_step attempt(const engine_assignment& assignment,
                      boost::asio::yield_context yield);
    next_step attempt_prefill(const engine_assignment& assignment,
                              boost::asio::yield_context yield);
    next_step attempt_decode(const engine_assignment& assignment,
                             boost::asio::yield_context yield);
    /** Records the duration of a successful step at an engine, as a basis for
        the expected times of later requests. */
    void record_step(const std::shared_ptr<target_view>& target,
                     double expected_ms, std::chrono::nanoseconds duration,
                     observed_delay& stage, std::optional<timed_step>& step);
    /** Record the durations of the steps of a generation, from which the speed
        of the engines is learned. */
    void observe_prefill(const engine_assignment& assignment,
                         std::chrono::nanoseconds duration);
    void observe_decode_start(const engine_assignment& assignment,
                              bool was_transferred,
                              std::chrono::nanoseconds duration);
    void observe_completion(const target_attempt& current);
    /** Returns whether another decode engine may fetch the KV cache after
        `decode_engine` refused the request. */
    bool can_reuse_kv_cache(const target_view& decode_engine) const;
    void release_kv_cache();
    /** Continues an attempt after the request has been sent.
        @param outcome  the outcome of sending it */
    next_step complete_attempt(std::unique_ptr<target_attempt> current,
                               attempt_result outcome,
                               boost::asio::yield_context yield);
    /** Counts a request of a workspace that began to run, once. Streams begin
        with their first event; other requests when the attempt was sent that
        has run, or may have. */
    void record_usage(time_point began_at);
    /** Records the gap between two events of a stream. */
    void observe_event(target_attempt& current, time_point received_at);
    void observe_response_start(const target_attempt& current);
    /** Returns whether the request may be sent to another target while it stays
        at a silent one, and one that is not suspected can take it. */
    bool has_alternative_to(const target_view& silent_target);
    /** Returns whether the retry budget allows another attempt, and a target
        that is not suspected could be scheduled without `silent_target`. */
    bool can_retry_without(const target_view& silent_target);
    /** Sets an attempt at a silent target aside, until another target responds
        to the request or none takes it. */
    next_step suspend(std::unique_ptr<target_attempt> current);
    next_step resume_suspended(boost::asio::yield_context yield);
    void log_silence(target_attempt& current);
    /** Returns whether an attempt so far may have run the request at few enough
        targets that another one may run it, that one could continue the stream
        if it has begun, and there is time for that. */
    bool may_run_at_another_target() const;
    next_step handle_failed_attempt(attempt_result attempt_outcome,
                                    const target_attempt& current);
    /** @param step  the step of a generation; empty for other requests */
    void log_failed_attempt(const target_view& target,
                            const target_exchange& upstream,
                            const std::string& step);
    next_step relay_response(std::unique_ptr<target_attempt> current,
                             boost::asio::yield_context yield);
    next_step relay_buffered(target_attempt& current,
                             boost::asio::yield_context yield);
    next_step relay_stream(std::unique_ptr<target_attempt> current,
                           boost::asio::yield_context yield);
    next_step handle_stream_failure(target_attempt& current,
                                    std::error_code error,
                                    boost::asio::yield_context yield);
    /** Completes a stream whose target has ended its response. */
    next_step complete_stream(target_attempt& current,
                              boost::asio::yield_context yield);
    /** Records the version of the target that begins the stream. */
    void record_stream_version(const target_attempt& current);
    /** Sends the head of a stream unless it has been sent.
        @returns false if the caller has disconnected */
    bool begin_stream(const target_attempt& current,
                      boost::asio::yield_context yield);
    /** Sends an event to the caller, unless the caller has it.
        @returns http_error::bad_message if the event does not continue what the
                 caller has, or the error of the connection to the caller */
    result<void> forward_event(const server_sent_event& event,
                               const target_attempt& current,
                               boost::asio::yield_context yield);
    /** Logs an event that does not continue what the caller has. */
    void log_mismatch(const server_sent_event& event,
                      const target_attempt& current);

    /** Returns whether a retry is allowed, and if so takes it out of the retry
        budget. */
    bool try_retry(next_step step);
    /** Sends the final response if no target could be scheduled.
        @param has_time  false if the reason is the caller's deadline */
    void refuse_unscheduled(bool has_time, scheduling_failure reason,
                            boost::asio::yield_context yield);
    void refuse(refusal_cause reason, std::chrono::milliseconds backlog,
                boost::asio::yield_context yield);
    void fail_request(refusal_cause reason, boost::asio::yield_context yield);
    void log_completion(event_number number, const std::string& outcome);
    /** Counts an error response of a target that is sent to the caller. */
    void count_relayed_failure(unsigned status);
    /** Logs that a target continues a stream, unless the response is the first
        of its stream. */
    void log_resumption();
    std::vector<event_field> fields() const;

    const gateway_services& services_;
    http_exchange& exchange_;
    std::mt19937_64& random_;
    request_context context_;
    std::optional<failed_response> failed_response_;
    engine_assignment assignment_;
    std::unique_ptr<target_attempt> suspended_;
};

} // namespace hibiscusferry

#endif
