#ifndef HIBISCUSFERRY_HTTP_SERVER_REQUEST_READER_HPP
#define HIBISCUSFERRY_HTTP_SERVER_REQUEST_READER_HPP

#include "http/server/beast_support.hpp"
#include "http/server/server_connection.hpp"

// Reading of requests by the server; not public.

namespace hibiscusferry
{

/** How long a connection is still read after a response has announced that
    it will be closed. A request that the client sent before it received the
    announcement is still served, and the response is not lost to a TCP
    reset. */
constexpr std::chrono::milliseconds linger_timeout{1000};

/** Converts a request of Beast to the module's type. */
http_request
to_http_request(beast_http::request<beast_http::string_body> message);

/** Reads a whole request.

    @returns http_error::timed_out if it has not arrived within `timeout`
*/
result<void>
read_request(server_connection& connection,
             beast_http::request_parser<beast_http::string_body>& parser,
             std::chrono::milliseconds timeout,
             boost::asio::yield_context yield);

/** Sends an error response for a request that did not arrive completely. */
void refuse_request(server_connection& connection, std::error_code reason,
                    boost::asio::yield_context yield);

} // namespace hibiscusferry

#endif
