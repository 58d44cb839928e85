#ifndef HIBISCUSFERRY_HTTP_SERVER_HTTP_SERVER_HPP
#define HIBISCUSFERRY_HTTP_SERVER_HTTP_SERVER_HPP

#include "http/server/exchange_failure.hpp"
#include "http/server/http_exchange.hpp"
#include "http/server/memory_budget.hpp"
#include "http/server/shedding_policy.hpp"
#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <chrono>
#include <functional>
#include <memory>

namespace hibiscusferry
{

/** Limits of a server.

    A client that exceeds a limit receives an error response, or its connection
    is closed.
*/
struct http_server_limits
{
    std::size_t header_bytes = 16U << 10;
    std::size_t body_bytes = 8U << 20;
    /** Maximum number of header fields and trailers of a request. The default
        is more than fit into the default of header_bytes, in which a field
        takes at least four bytes. */
    std::size_t header_fields = 4096;
    std::size_t connections = 4096;
    /** Age from which a connection may be dropped in favour of a new one if
        there are too many. */
    std::chrono::milliseconds min_drop_age = shedding_policy::grace;
    /** Maximum time from the first byte of a request to its last. */
    std::chrono::milliseconds request_timeout{10000};
    /** Maximum time that a connection may be idle between requests. */
    std::chrono::milliseconds idle_timeout{30000};
    /** Maximum time for a single write of response data to complete. */
    std::chrono::milliseconds write_timeout{20000};
    /** The memory for connections and requests; null if it is not limited. The
        connections of all servers with the same budget share it. */
    std::shared_ptr<memory_budget> memory;
};

/** An HTTP/1.1 server that passes each request to a handler.

    Each connection has its own coroutine, in which the handler is called. The
    server must be destroyed either after its io_context has stopped, or after
    close() has been called and the io_context has been run again.
*/
class http_server
{
public:
    using handler =
        std::function<void(http_exchange&, boost::asio::yield_context)>;

    /** Starts to listen on an endpoint. Port 0 selects a free port.

        @returns the server, http_error::address_in_use if another socket
                 listens on the endpoint, or http_error::bad_address if it is
                 invalid or not available for another reason
    */
    static result<std::unique_ptr<http_server>>
    listen(boost::asio::io_context& context, const http_endpoint& endpoint,
           const http_server_limits& limits, handler on_request);

    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    http_endpoint endpoint() const;

    /** Sets a function that is called for each exchange that fails from now
        on. */
    void on_exchange_failure(exchange_failure_observer observer);

    /** Sets the function that returns the response to a request for which there
        is no memory. It may be sent before the request has been read. */
    void on_memory_short(std::function<http_response()> response);

    /** Drops the connection with the slowest progress, if it has stopped, so
        that its memory can be used.

        @returns whether a connection was dropped whose memory is free now
    */
    bool drop_stopped_connection();

    /** The number of requests whose handler is running. */
    std::size_t active_exchanges() const;

    /** The number of open connections. */
    std::size_t open_connections() const;

    /** Changes the limits.

        A longer idle timeout applies immediately. A shorter one applies to
        connections that become idle from now on, because the clients of the
        others may still rely on the longer one. The size limits and the request
        timeout apply to requests that have not begun to arrive, and the write
        timeout and the number of connections apply to connections that are
        accepted from now on.
    */
    void set_limits(const http_server_limits& limits);

    /** Closes the connections that have no request in progress. */
    void close_idle();

    /** From now on, every response asks the client to close the connection.
        New connections are still accepted. Used during a planned shutdown. */
    void close_after_responses();

    /** Stops listening and closes all connections immediately. */
    void close();

private:
    struct implementation;

    explicit http_server(std::shared_ptr<implementation> state);

    std::shared_ptr<implementation> implementation_;
};

} // namespace hibiscusferry

#endif
