#ifndef HIBISCUSFERRY_GATEWAY_REQUEST_REQUEST_FORWARDER_HPP
#define HIBISCUSFERRY_GATEWAY_REQUEST_REQUEST_FORWARDER_HPP

#include "gateway/request/target_exchange.hpp"
#include <optional>
#include <random>

namespace hibiscusferry
{

/** Serves one request of a caller from its arrival to its end.

    Places it, offers it to a target, and carries the answer back; sends it to
    a further target only where that is safe and within the retry budget. A
    request that cannot be served gets its final answer at once: as not run,
    with a time to come back, if no target can have run it.
*/
class request_forwarder
{
public:
    request_forwarder(const gateway_services& services, http_exchange& exchange,
                      std::mt19937_64& random);

    /** Returns when the caller has its answer or is gone. */
    void serve(boost::asio::yield_context yield);

private:
    /** What follows an offer. */
    enum class next_step
    {
        ended,       ///< the caller has its answer, or is gone
        read,        ///< the prompt was read; a decoder is to be found
        again,       ///< place it anew; the request has not run there
        may_have_run ///< as again, but only if it may be repeated
    };

    /** A failure that a target answered with; the caller's if no other target
        does better. */
    struct failed_answer
    {
        http_response response;
        std::string target;
    };

    bool admit(boost::asio::yield_context yield);
    void run(boost::asio::yield_context yield);
    engine_assignment schedule(scheduling_failure& reason);
    scheduling_constraints constraints() const;
    std::chrono::milliseconds first_byte_limit(bool is_repeatable) const;

    next_step attempt(const engine_assignment& assignment,
                      boost::asio::yield_context yield);
    next_step attempt_prefill(const engine_assignment& assignment,
                              boost::asio::yield_context yield);
    next_step attempt_decode(const engine_assignment& assignment,
                             boost::asio::yield_context yield);
    /** Learns from a step at an engine that has ended well. */
    void note_step(const std::shared_ptr<target_view>& target,
                   double expected_ms, std::chrono::nanoseconds taken,
                   observed_delay& stage, std::optional<timed_step>& step);
    /** After a decoder refused a copy: whether another one may take it. */
    bool may_keep_copy(const target_view& decode_engine) const;
    void release_copy();
    next_step after_offer(attempt_result result, target_view& target);
    next_step deliver(target_exchange& offered, target_view& target,
                      target_load_guard& work,
                      boost::asio::yield_context yield);
    next_step deliver_whole(target_exchange& offered, target_view& target,
                            boost::asio::yield_context yield);
    next_step relay_stream(target_exchange& offered, target_view& target,
                           target_load_guard& work,
                           boost::asio::yield_context yield);
    next_step stream_interrupted(target_view& target, std::error_code error);
    bool pass_event(const server_sent_event& event, target_exchange& offered,
                    boost::asio::yield_context yield);

    /** Whether the request may be sent once more, and takes it out of the
        budget if so. */
    bool may_send_again(next_step step);
    void refuse(refusal_cause reason, std::chrono::milliseconds backlog,
                boost::asio::yield_context yield);
    void give_up(refusal_cause reason, boost::asio::yield_context yield);
    void log_end(event_number number, const std::string& outcome);
    std::vector<event_field> fields() const;

    const gateway_services& services_;
    http_exchange& exchange_;
    std::mt19937_64& random_;
    request_context context_;
    std::optional<failed_answer> failed_answer_;
    engine_assignment assignment_;
};

} // namespace hibiscusferry

#endif
