#ifndef HIBISCUSFERRY_HTTP_SERVER_HTTP_SERVER_HPP
#define HIBISCUSFERRY_HTTP_SERVER_HTTP_SERVER_HPP

#include "http/server/http_exchange.hpp"
#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <chrono>
#include <functional>
#include <memory>

namespace hibiscusferry
{

/** Limits of a server; a client beyond one gets an error or is cut. */
struct http_server_limits
{
    std::size_t header_bytes = 16U << 10;
    std::size_t body_bytes = 8U << 20;
    std::size_t connections = 4096;
    /** For a whole request to arrive once its first byte has. */
    std::chrono::milliseconds request_timeout{10000};
    /** For a connection without a request. */
    std::chrono::milliseconds idle_timeout{30000};
    /** For a piece of an answer to be taken by the client. */
    std::chrono::milliseconds write_time{20000};
};

/** An HTTP/1.1 server: each request is given to the handler, in a coroutine
    of its connection.

    The server must be destroyed after its io_context has stopped, or after
    close() and a run of the io_context.
*/
class http_server
{
public:
    using handler =
        std::function<void(http_exchange&, boost::asio::yield_context)>;

    /** Listens; port 0 takes a free one.
        @returns http_error::bad_address when it cannot */
    static result<std::unique_ptr<http_server>>
    listen(boost::asio::io_context& context, const http_endpoint& endpoint,
           const http_server_limits& limits, handler on_request);

    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    http_endpoint endpoint() const;

    /** Requests being answered now. */
    std::size_t active_exchanges() const;

    /** Connections open now. */
    std::size_t open_connections() const;

    /** Takes new limits for requests that have not begun to arrive. */
    void set_limits(const http_server_limits& limits);

    /** Closes the connections that have no request in progress. */
    void close_idle();

    /** Answers from now on ask the client to close the connection; new
        connections are still accepted. For a planned stop. */
    void close_after_responses();

    /** Stops listening and closes all connections at once. */
    void close();

private:
    struct implementation;

    explicit http_server(std::shared_ptr<implementation> parts);

    std::shared_ptr<implementation> implementation_;
};

} // namespace hibiscusferry

#endif
