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

    The memory of the connection grows with the request. Other connections are
    asked for theirs if there is too little.

    @param reclaim  releases memory for this connection; returns false if it
                    cannot
    @returns http_error::timed_out if it has not arrived within the request
   timeout, or if the connection is to be dropped
*/
result<void>
read_request(server_connection& connection,
             beast_http::request_parser<beast_http::string_body>& parser,
             const http_server_limits& limits,
             const std::function<bool()>& reclaim,
             boost::asio::yield_context yield);

/** Changes the memory of a connection, and has other connections release theirs
    if there is too little. */
bool reserve_memory(server_connection& connection, std::size_t bytes,
                    const std::function<bool()>& reclaim);

/** The memory that a request occupies while it is handled. */
std::size_t
handling_bytes(const beast_http::request<beast_http::string_body>& message);

/** The memory of a connection without a request: its coroutine, its socket and
    its timers. Measured: 21 KB without a request, up to 57 KB after one. */
constexpr std::size_t connection_bytes = 32U << 10;

/** Sends an error response for a request that did not arrive completely.

    @param memory_response  the response if there is too little memory
*/
void refuse_request(server_connection& connection, std::error_code reason,
                    const std::function<http_response()>& memory_response,
                    boost::asio::yield_context yield);

} // namespace hibiscusferry

#endif
