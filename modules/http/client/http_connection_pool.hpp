#ifndef HIBISCUSFERRY_HTTP_CLIENT_HTTP_CONNECTION_POOL_HPP
#define HIBISCUSFERRY_HTTP_CLIENT_HTTP_CONNECTION_POOL_HPP

#include "http/client/http_connection.hpp"
#include <deque>
#include <map>

namespace hibiscusferry
{

/** A pool of idle client connections.

    Only connections whose exchange completed are kept. Each is kept for a
    limited time, because intermediaries such as firewalls may silently drop
    the state of an idle connection.
*/
class http_connection_pool
{
public:
    static constexpr std::chrono::seconds max_idle_time{15};
    static constexpr std::size_t max_idle_per_endpoint = 32;

    explicit http_connection_pool(boost::asio::io_context& context);

    /** Sets a function that is called for each response that is not valid, over
        connections that are opened from now on. */
    void on_invalid_response(invalid_response_observer observer);

    /** Returns a usable idle connection, or opens a new one. */
    result<std::unique_ptr<http_connection>>
    take(const http_endpoint& endpoint, std::chrono::milliseconds timeout,
         boost::asio::yield_context yield);

    /** Returns an idle connection, or nullptr if there is none.

        Closes and skips connections that the server has closed, that have
        unread bytes, or that have been idle for longer than `idle_limit` or
        than a fixed part of the keep-alive timeout the server announced. Skips
        those that have carried an exchange with the id of the next one.

        @param exchange_id  empty if the next exchange has no id
    */
    std::unique_ptr<http_connection>
    take_idle(const http_endpoint& endpoint,
              std::chrono::milliseconds idle_limit,
              std::string_view exchange_id = {});

    /** Opens a new connection even if idle ones exist.

        For probes and for requests that must not be retried: a reused
        connection may be closed by the server while the request is sent.
    */
    result<std::unique_ptr<http_connection>>
    open(const http_endpoint& endpoint, std::chrono::milliseconds timeout,
         boost::asio::yield_context yield);

    /** Returns a connection to the pool if it is reusable; closes it
        otherwise. */
    void release(std::unique_ptr<http_connection> connection);

    /** Closes all idle connections to an endpoint, for use after a
        failure. */
    void forget(const http_endpoint& endpoint);

    /** Closes the connections that have been idle for longer than
        max_idle_time, have unread bytes, or were closed by the server. */
    void sweep();

    std::size_t idle_connections() const;

private:
    struct idle_connection
    {
        std::unique_ptr<http_connection> connection;
        time_point since;

        bool is_usable(std::chrono::milliseconds idle_limit) const;
    };

    boost::asio::io_context& context_;
    invalid_response_observer on_invalid_response_;
    std::map<http_endpoint, std::deque<idle_connection>> idle_;
};

} // namespace hibiscusferry

#endif
