#ifndef HIBISCUSFERRY_HTTP_CLIENT_HTTP_CALL_HPP
#define HIBISCUSFERRY_HTTP_CLIENT_HTTP_CALL_HPP

#include "http/client/http_connection_pool.hpp"
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

/** Sends a request and passes the result to a handler.

    For callers that are not coroutines. The handler is called exactly once,
    and never from within this function.
*/
void http_call(boost::asio::io_context& context, http_connection_pool& pool,
               const http_endpoint& endpoint, const http_request& request,
               std::chrono::milliseconds timeout, std::size_t max_body_bytes,
               std::function<void(result<http_response>)> handler);

} // namespace hibiscusferry

#endif
