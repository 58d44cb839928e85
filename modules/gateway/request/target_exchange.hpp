#ifndef HIBISCUSFERRY_GATEWAY_REQUEST_TARGET_EXCHANGE_HPP
#define HIBISCUSFERRY_GATEWAY_REQUEST_TARGET_EXCHANGE_HPP

#include "gateway/request/request_context.hpp"
#include <memory>

namespace hibiscusferry
{

/** How an offer to a target ended. */
enum class attempt_result
{
    answered,    ///< the head of an answer to this request is there
    not_sent,    ///< no byte of the request left
    not_run,     ///< the target says that it has not run it
    unknown,     ///< it was sent, and may have run
    caller_gone, ///< the caller left; the target's connection is closed
    out_of_time  ///< the caller's time is over; it may have run
};

/** One offer of a request to one target, and the reading of its answer.

    Answers to other requests that arrive first are dropped. The connection is
    kept for further exchanges only if the answer was read to its end.
*/
class target_exchange
{
public:
    target_exchange(const gateway_services& services, request_context& context,
                    std::shared_ptr<target_view> target);
    ~target_exchange();
    target_exchange(const target_exchange&) = delete;
    target_exchange& operator=(const target_exchange&) = delete;

    /** Sends the offer and reads the head of the answer.
        @param first_byte_limit  longest silence before the head */
    attempt_result send(const attempt_options& terms,
                        std::chrono::milliseconds first_byte_limit,
                        boost::asio::yield_context yield);

    /** The answer's head; valid after send() gave answered or not_run. */
    const http_response_head& head() const;
    const target_response& answer() const;

    /** Reads the rest of the answer. */
    result<std::string> read_body(boost::asio::yield_context yield);

    /** Reads the next piece of the answer; empty at its end.
        @param silence_limit  longest wait for it */
    result<std::string> read_some(std::chrono::milliseconds silence_limit,
                                  boost::asio::yield_context yield);

    /** Keeps the connection if it can be used again. Called when the answer
        was read to its end, so that others can use it at once. */
    void finish();

private:
    attempt_result connect(boost::asio::yield_context yield);
    attempt_result read_head(std::chrono::milliseconds first_byte_limit,
                             boost::asio::yield_context yield);
    attempt_result failure(std::error_code error, bool may_have_run);
    std::chrono::milliseconds bounded(std::chrono::milliseconds limit) const;

    const gateway_services& services_;
    request_context& context_;
    std::shared_ptr<target_view> target_;
    std::unique_ptr<http_connection> connection_;
    bool is_kept_connection_ = false;
    http_response_head head_;
    target_response answer_;
};

} // namespace hibiscusferry

#endif
