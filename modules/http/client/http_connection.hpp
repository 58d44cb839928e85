#ifndef HIBISCUSFERRY_HTTP_CLIENT_HTTP_CONNECTION_HPP
#define HIBISCUSFERRY_HTTP_CLIENT_HTTP_CONNECTION_HPP

#include "foundation/foundation.hpp"
#include "http/errors/http_error.hpp"
#include "http/message/http_message.hpp"
#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>

namespace hibiscusferry
{

/** A client's connection, with one exchange at a time.

    Call send, read_head, then read_some until it gives an empty piece. A
    connection whose exchange did not come to its end is never used again:
    is_reusable() says so. Destroying it closes it.
*/
class http_connection
{
public:
    /** Opens a connection.
        @returns http_error::connect_failed when there is none within the
                 time limit; nothing was sent then */
    static result<std::unique_ptr<http_connection>>
    connect(boost::asio::io_context& context, const http_endpoint& endpoint,
            std::chrono::milliseconds time_limit,
            boost::asio::yield_context yield);

    ~http_connection();
    http_connection(const http_connection&) = delete;
    http_connection& operator=(const http_connection&) = delete;

    /** Sends a whole request. After any error bytes may have left. */
    result<void> send(const http_request& request,
                      std::chrono::milliseconds time_limit,
                      boost::asio::yield_context yield);

    /** Reads the answer's status and header fields. */
    result<http_response_head> read_head(std::chrono::milliseconds time_limit,
                                         boost::asio::yield_context yield);

    /** Reads the next piece of the body; empty at its end. */
    result<std::string> read_some(std::chrono::milliseconds time_limit,
                                  boost::asio::yield_context yield);

    /** Reads the rest of the body, at most `byte_limit` bytes. */
    result<std::string> read_remaining(std::size_t byte_limit,
                                       std::chrono::milliseconds time_limit,
                                       boost::asio::yield_context yield);

    /** Whether the last exchange came to its end, with no byte after it, and
        the other side keeps the connection open. */
    bool is_reusable() const;

    /** Whether an idle connection is still open with nothing to read: bytes
        that arrive between exchanges belong to no request. */
    bool is_quiet() const;

    /** How long the other side keeps the connection open when idle, from its
        Keep-Alive header; none if it did not say. */
    std::optional<std::chrono::seconds> announced_idle_limit() const;

    /** Makes the connection ready for the next answer of the same exchange,
        after one that belonged to another request was read whole. */
    void expect_another_response();

    /** Whether any byte of an answer to the present exchange arrived. */
    bool has_received() const;

    const http_endpoint& endpoint() const;

    /** Ends any operation in progress with http_error::broken. */
    void close();

private:
    struct implementation;

    explicit http_connection(std::unique_ptr<implementation> parts);

    std::unique_ptr<implementation> implementation_;
};

} // namespace hibiscusferry

#endif
