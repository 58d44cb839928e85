#ifndef HIBISCUSFERRY_HTTP_CLIENT_HTTP_CALL_HPP
#define HIBISCUSFERRY_HTTP_CLIENT_HTTP_CALL_HPP

#include "http/client/http_connection_pool.hpp"
#include "http/client/transfer_progress.hpp"
#include <chrono>
#include <functional>

namespace hibiscusferry
{

/** Sends a request and reads the complete response, from a coroutine.

    http_error::connect_failed means that no byte of the request was sent.
    After any other error the server may have executed the request.

    @param timeout         time limit for the whole exchange, including the
                           time to connect
    @param max_body_bytes  maximum size of the response body
    @returns the response, or an http_error
*/
result<http_response>
http_call(http_connection_pool& pool, const http_endpoint& endpoint,
          const http_request& request, std::chrono::milliseconds timeout,
          std::size_t max_body_bytes, boost::asio::yield_context yield);

/** Sends a request over an open connection, and waits for nothing before that.
    A late response to an earlier request cannot arrive on a new connection, so
    there the response needs nothing that identifies it. */
result<http_response> http_call(http_connection_pool& pool,
                                std::unique_ptr<http_connection> connection,
                                const http_request& request,
                                std::chrono::milliseconds timeout,
                                std::size_t max_body_bytes,
                                boost::asio::yield_context yield);

/** Limits of a call whose response may be large. */
struct transfer_limits
{
    /** Maximum time until the first bytes of the response, including the time
        to connect. */
    std::chrono::milliseconds response_timeout;
    /** Maximum time from any bytes of the response to the next ones. */
    std::chrono::milliseconds max_silence;
    /** Maximum time for the whole exchange. */
    std::chrono::milliseconds total_timeout;
    /** Maximum size of the response body. */
    std::size_t max_body_bytes;
};

/** Sends a request and reads the complete response, however long that takes, as
    long as bytes of it arrive.

    @param progress  records what arrives; may be null
    @returns the response, or an http_error: http_error::timed_out if a limit is
             exceeded
*/
result<http_response>
http_transfer(http_connection_pool& pool, const http_endpoint& endpoint,
              const http_request& request, const transfer_limits& limits,
              const std::shared_ptr<transfer_progress>& progress,
              boost::asio::yield_context yield);

/** Sends a request and passes the result to a handler.

    For callers that are not coroutines. The handler is called exactly once,
    and never from within this function.
*/
void http_call(boost::asio::io_context& context, http_connection_pool& pool,
               const http_endpoint& endpoint, const http_request& request,
               std::chrono::milliseconds timeout, std::size_t max_body_bytes,
               std::function<void(result<http_response>)> handler);

/** Sends a request over a new connection, so that it does not arrive after the
    timeout: what has not been delivered by then is discarded. For calls whose
    authority may pass to another process. The handler is called as by
    http_call(). */
void http_call_without_late_arrival(
    boost::asio::io_context& context, http_connection_pool& pool,
    const http_endpoint& endpoint, const http_request& request,
    std::chrono::milliseconds timeout, std::size_t max_body_bytes,
    std::function<void(result<http_response>)> handler);

} // namespace hibiscusferry

#endif
