#ifndef HIBISCUSFERRY_GATEWAY_REQUEST_TARGET_EXCHANGE_HPP
#define HIBISCUSFERRY_GATEWAY_REQUEST_TARGET_EXCHANGE_HPP

#include "gateway/request/request_context.hpp"
#include <memory>

namespace hibiscusferry
{

/** Outcome of an attempt at a target. */
enum class attempt_result
{
    response_received,   ///< the head of the response has arrived
    not_sent,            ///< no byte of the request was sent
    not_run,             ///< the response proves that it has not run
    silent,              ///< no response yet, and may run; see wait()
    unknown,             ///< the request was sent, and may have run
    caller_disconnected, ///< so the connection to the target was closed
    deadline_exceeded    ///< the caller's time limit passed; it may have run
};

/** One attempt at one target: sends the request and reads the response.

    Responses that arrive first and may belong to other requests are discarded.
   The connection is reused only if the response was read to its end.
*/
class target_exchange
{
public:
    target_exchange(const gateway_services& services, request_context& context,
                    std::shared_ptr<target_view> target);
    ~target_exchange();
    target_exchange(const target_exchange&) = delete;
    target_exchange& operator=(const target_exchange&) = delete;

    /** Sends the request and reads the head of the response.
        @param first_byte_timeout  maximum time without a byte before the end
                                   of the head */
    attempt_result send(const attempt_options& options,
                        std::chrono::milliseconds first_byte_timeout,
                        boost::asio::yield_context yield);

    /** Continues after send() or wait() has returned
        attempt_result::silent. */
    attempt_result wait(std::chrono::milliseconds first_byte_timeout,
                        boost::asio::yield_context yield);

    /** Records that the target has not sent its response, or the next event of
        it, in time. Only the first call has an effect. */
    void record_silence();

    /** Whether record_silence() has been called. */
    bool was_silent() const;

    /** Whether the target, and not this host, has ended the connection. Valid
        after send() or wait() has returned attempt_result::unknown. */
    bool is_connection_broken() const;

    /** Whether bytes of the response have arrived that have not been read. */
    bool has_unread_data() const;

    /** Closes the connection; any operation in progress fails. */
    void close();

    /** The head of the response. Valid after send() has returned
        attempt_result::response_received or attempt_result::not_run. */
    const http_response_head& head() const;
    const target_response& parsed_response() const;

    /** The evidence on whether the target has run the request. */
    const response_evidence& evidence() const;

    /** Whether the response is an error after which the request may have run,
        and another target may succeed. */
    bool has_failed() const;

    /** Reads the rest of the response, up to its confirmed end.
        @returns http_error::too_large if it exceeds the limit on its size or
                 on the memory for responses */
    result<std::string> read_body(boost::asio::yield_context yield);

    /** Reads the next chunk of the response.
        @param read_timeout  maximum time to wait for the chunk
        @returns an empty string at the end of the response */
    result<std::string> read_some(std::chrono::milliseconds read_timeout,
                                  boost::asio::yield_context yield);

    /** Finds out whether a response that has been read to its end is complete.
        The end of the connection alone does not tell: it may also be that of a
        process that was killed. In that case the target has to answer another
        request, since the kernel still accepts connections for a process that
        is ending or frozen. */
    bool confirm_end(boost::asio::yield_context yield);

    /** Reserves memory for the buffered part of the response.
        @param bytes  the new size of that part
        @returns false if the process buffers too much */
    bool reserve_memory(std::size_t bytes);

    /** When the request was sent; the epoch if it was not. */
    time_point sent_at() const;

    /** Returns the connection to the pool if it can be reused. To be called as
        soon as the response was read to its end, so that other requests can use
        the connection at once. */
    void finish();

private:
    /** Asks the target for its state.
        @returns whether its process has answered within the time left */
    bool is_target_answering(boost::asio::yield_context yield);
    /** The request that a target answers without a free slot, if possible; none
        if its service has no such request. */
    std::optional<http_request> state_request() const;
    attempt_result connect(boost::asio::yield_context yield);
    result<std::unique_ptr<http_connection>>
    open_connection(boost::asio::yield_context yield);
    /** Returns an idle connection on which the id of the request identifies its
        response, or nullptr. */
    std::unique_ptr<http_connection> take_idle_connection();
    /** Reads the head of the response unless the request could not be sent. */
    attempt_result finish_send(const result<void>& sent,
                               std::chrono::milliseconds first_byte_timeout,
                               boost::asio::yield_context yield);
    attempt_result read_head(std::chrono::milliseconds first_byte_timeout,
                             boost::asio::yield_context yield);
    /** Discards a response that does not belong to the request. */
    result<void> discard_response(std::chrono::milliseconds timeout,
                                  boost::asio::yield_context yield);
    void count_statement();
    /** Returns whether an operation failed only because the target is silent,
        and records the silence. */
    bool is_silence(std::error_code error);
    bool is_deadline_exceeded() const;
    /** Reads the rest of a response that states that the request was not run,
        and decides whether that is proven. */
    attempt_result handle_refusal(boost::asio::yield_context yield);
    /** Handles an error after which the request may have run. */
    attempt_result handle_failure(std::error_code error);
    std::chrono::milliseconds
    clamp_to_deadline(std::chrono::milliseconds timeout) const;

    const gateway_services& services_;
    request_context& context_;
    std::shared_ptr<target_view> target_;
    std::unique_ptr<http_connection> connection_;
    bool is_reused_connection_ = false;
    bool is_silence_recorded_ = false;
    bool is_connection_broken_ = false;
    time_point sent_at_{};
    unsigned stale_responses_ = 0;
    http_response_head head_;
    target_response parsed_response_;
    response_evidence evidence_;
};

} // namespace hibiscusferry

#endif
