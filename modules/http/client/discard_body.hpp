#ifndef HIBISCUSFERRY_HTTP_CLIENT_DISCARD_BODY_HPP
#define HIBISCUSFERRY_HTTP_CLIENT_DISCARD_BODY_HPP

#include "http/client/http_connection.hpp"

namespace hibiscusferry
{

/** Reads the remainder of a response body without keeping it.

    @param max_body_bytes  maximum size of the remainder
    @param timeout         maximum time until the end of the body
    @returns http_error::too_large if the remainder exceeds `max_body_bytes`
*/
result<void> discard_body(http_connection& connection,
                          std::size_t max_body_bytes,
                          std::chrono::milliseconds timeout,
                          boost::asio::yield_context yield);

} // namespace hibiscusferry

#endif
