#ifndef HIBISCUSFERRY_GATEWAY_REQUEST_REQUEST_FORWARDER_HPP
#define HIBISCUSFERRY_GATEWAY_REQUEST_REQUEST_FORWARDER_HPP

#include "gateway/request/target_exchange.hpp"
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
    void run(boost::asio::yield_context yield);
    /** Finds the software version at which a stream that the caller resumes may
        continue; refuses the request if it cannot be found.
        @returns whether the request may be scheduled */
    bool find_stream_version(boost::asio::yield_context yield);
    engine_assignment schedule(scheduling_failure& reason);
    /** Time until the first target that wants no requests accepts them again;
        zero if there is none. */
    std::chrono::milliseconds refusal_time_left() const;
    scheduling_constraints constraints() const;
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
    void observe_completion(bool was_transferred, time_point attempt_start,
                            time_point response_start);
    /** Returns whether another decode engine may fetch the KV cache after
        `decode_engine` refused the request. */
    bool can_reuse_kv_cache(const target_view& decode_engine) const;
    void release_kv_cache();
    /** Returns whether the request may be sent to another target now, and one
        that is not suspected can take it. A silent target is left only if so:
        it may still go on. */
    bool has_alternative_to(const target_view& silent_target);
    /** Sends the request and waits for the head of the response, also at a
        silent target as long as there is no alternative to it. */
    attempt_result send_and_wait(target_exchange& upstream,
                                 const attempt_options& options,
                                 const std::shared_ptr<target_view>& target,
                                 boost::asio::yield_context yield);
    void log_silence(const target_view& target);
    /** Assigns the silent target that was left last, if it is still there. */
    bool return_to_silent_target();
    next_step handle_failed_attempt(attempt_result attempt_outcome,
                                    target_view& target);
    next_step relay_response(target_exchange& upstream,
                             const std::shared_ptr<target_view>& target,
                             target_load_guard& work,
                             boost::asio::yield_context yield);
    next_step relay_buffered(target_exchange& upstream, target_view& target,
                             boost::asio::yield_context yield);
    next_step relay_stream(target_exchange& upstream,
                           const std::shared_ptr<target_view>& target,
                           target_load_guard& work,
                           boost::asio::yield_context yield);
    next_step handle_stream_failure(target_exchange& upstream,
                                    target_view& target, std::error_code error);
    /** Records the version of the target that begins the stream. */
    void record_stream_version();
    bool forward_event(const server_sent_event& event,
                       target_exchange& upstream,
                       boost::asio::yield_context yield);

    /** Returns whether a retry is allowed, and if so takes it out of the retry
        budget. */
    bool try_retry(next_step step);
    void refuse(refusal_cause reason, std::chrono::milliseconds backlog,
                boost::asio::yield_context yield);
    void fail_request(refusal_cause reason, boost::asio::yield_context yield);
    void log_completion(event_number number, const std::string& outcome);
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
};

} // namespace hibiscusferry

#endif
