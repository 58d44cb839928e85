#ifndef HIBISCUSFERRY_HTTP_SERVER_BEAST_SUPPORT_HPP
#define HIBISCUSFERRY_HTTP_SERVER_BEAST_SUPPORT_HPP

#include "foundation/foundation.hpp"
#include "http/errors/http_error.hpp"
#include "http/message/http_message.hpp"
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cstddef>
#include <netinet/tcp.h>

// Boost.Beast helpers shared by the sources of this module; not public.

namespace hibiscusferry
{

namespace beast_http = boost::beast::http;

/** Converts an error of Asio or Beast to an http_error. */
inline std::error_code to_http_error(const boost::system::error_code& error)
{
    if (error == boost::beast::error::timeout)
        return make_error_code(http_error::timed_out);
    if (error == beast_http::error::body_limit ||
        error == beast_http::error::header_limit ||
        error == beast_http::error::buffer_overflow)
        return make_error_code(http_error::too_large);
    if (error == beast_http::error::bad_content_length ||
        error == beast_http::error::bad_transfer_encoding)
        return make_error_code(http_error::unknown_length);
    const bool is_end = error == beast_http::error::end_of_stream ||
                        error == beast_http::error::partial_message;
    if (!is_end &&
        error.category() ==
            make_error_code(beast_http::error::bad_method).category())
        return make_error_code(http_error::bad_message);
    return make_error_code(http_error::broken);
}

/** Converts an endpoint to Asio's type.

    @returns http_error::bad_address if the address is not an IP address
*/
inline result<boost::asio::ip::tcp::endpoint>
to_tcp_endpoint(const http_endpoint& endpoint)
{
    boost::system::error_code error;
    const boost::asio::ip::address address =
        boost::asio::ip::make_address(endpoint.address, error);
    if (error)
        return make_error_code(http_error::bad_address);
    return boost::asio::ip::tcp::endpoint(address, endpoint.port);
}

/** Sets the options common to all connections.

    Disables Nagle's algorithm, so that small writes are sent immediately,
    enables TCP keep-alive, and has the kernel drop a connection on which sent
    data remains unacknowledged for too long.
*/
inline void set_socket_options(boost::asio::ip::tcp::socket& socket)
{
    constexpr int tcp_user_timeout_milliseconds = 10000;
    boost::system::error_code ignored;
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
    ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
                 &tcp_user_timeout_milliseconds,
                 sizeof(tcp_user_timeout_milliseconds));
}

/** Returns the time since the kernel received the last data of a connection;
    zero if it does not report that. */
inline std::chrono::milliseconds
time_since_last_data(boost::asio::ip::tcp::socket& socket)
{
    tcp_info status{};
    socklen_t size = sizeof status;
    if (::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &status,
                     &size) != 0 ||
        size < offsetof(tcp_info, tcpi_last_ack_recv))
        return std::chrono::milliseconds(0);
    return std::chrono::milliseconds(status.tcpi_last_data_recv);
}

} // namespace hibiscusferry

#endif
