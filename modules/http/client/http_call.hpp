#ifndef HIBISCUSFERRY_HTTP_CLIENT_HTTP_CALL_HPP
#define HIBISCUSFERRY_HTTP_CLIENT_HTTP_CALL_HPP

#include "http/client/http_connection_pool.hpp"
#include <chrono>
#include <functional>

namespace hibiscusferry
{

/** Makes one exchange with a whole answer, from inside a coroutine.

    http_error::connect_failed says that nothing was sent; after any other
    error the call may have taken effect.
    @param byte_limit  greatest size of the answer's body
*/
result<http_response>
http_call(http_connection_pool& pool, const http_endpoint& endpoint,
          const http_request& request, std::chrono::milliseconds time_limit,
          std::size_t byte_limit, boost::asio::yield_context yield);

/** The same with a handler, for callers that are not coroutines. The handler
    is called once, never from inside this function. */
void http_call(boost::asio::io_context& context, http_connection_pool& pool,
               const http_endpoint& endpoint, const http_request& request,
               std::chrono::milliseconds time_limit, std::size_t byte_limit,
               std::function<void(result<http_response>)> handler);

} // namespace hibiscusferry

#endif
