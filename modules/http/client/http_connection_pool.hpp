#ifndef HIBISCUSFERRY_HTTP_CLIENT_HTTP_CONNECTION_POOL_HPP
#define HIBISCUSFERRY_HTTP_CLIENT_HTTP_CONNECTION_POOL_HPP

#include "http/client/http_connection.hpp"
#include <deque>
#include <map>

namespace hibiscusferry
{

/** Keeps idle connections for reuse.

    Only connections whose exchange came to its end are kept, each for a
    limited time, as whatever stands between may forget an idle one.
*/
class http_connection_pool
{
public:
    static constexpr std::chrono::seconds longest_idle{15};
    static constexpr std::size_t most_idle_per_endpoint = 32;

    explicit http_connection_pool(boost::asio::io_context& context);

    /** An idle connection if there is a fresh one, or a new one. */
    result<std::unique_ptr<http_connection>>
    take(const http_endpoint& endpoint, std::chrono::milliseconds time_limit,
         boost::asio::yield_context yield);

    /** An idle connection, or none. One that was closed, has unread bytes or
        was idle for longer than `idle_limit`, or than a part of what the other
        side announced, is closed instead. */
    std::unique_ptr<http_connection>
    take_idle(const http_endpoint& endpoint,
              std::chrono::milliseconds idle_limit);

    /** A new connection, also when there are idle ones; for calls that may
        not be repeated and for probes. */
    result<std::unique_ptr<http_connection>>
    open(const http_endpoint& endpoint, std::chrono::milliseconds time_limit,
         boost::asio::yield_context yield);

    /** Keeps a connection if it can be used again; closes it otherwise. */
    void release(std::unique_ptr<http_connection> connection);

    /** Closes all idle connections to an endpoint that is in doubt. */
    void forget(const http_endpoint& endpoint);

    /** Closes the connections that were idle for longer than longest_idle, or
        that the other side has closed. */
    void sweep();

    std::size_t idle_connections() const;

private:
    struct idle_connection
    {
        std::unique_ptr<http_connection> connection;
        time_point since;
    };

    boost::asio::io_context& context_;
    std::map<http_endpoint, std::deque<idle_connection>> idle_;
};

} // namespace hibiscusferry

#endif
