#include "http/client/http_connection_pool.hpp"

#include <algorithm>

namespace hibiscusferry
{

namespace
{

/** An idle connection is reused only during this part of the server's
    announced keep-alive timeout, so that a request is not sent while the
    server closes the connection. */
constexpr int usable_keep_alive_percent = 70;

} // namespace

http_connection_pool::http_connection_pool(boost::asio::io_context& context)
    : context_(context)
{
}

result<std::unique_ptr<http_connection>>
http_connection_pool::take(const http_endpoint& endpoint,
                           std::chrono::milliseconds timeout,
                           boost::asio::yield_context yield)
{
    std::unique_ptr<http_connection> idle = take_idle(endpoint, max_idle_time);
    if (idle)
        return idle;
    return open(endpoint, timeout, yield);
}

std::unique_ptr<http_connection>
http_connection_pool::take_idle(const http_endpoint& endpoint,
                                std::chrono::milliseconds idle_limit)
{
    const auto endpoint_entry = idle_.find(endpoint);
    if (endpoint_entry == idle_.end())
        return nullptr;
    while (!endpoint_entry->second.empty())
    {
        idle_connection newest = std::move(endpoint_entry->second.back());
        endpoint_entry->second.pop_back();
        std::chrono::milliseconds limit = idle_limit;
        if (newest.connection->keep_alive_timeout())
            limit = std::min<std::chrono::milliseconds>(
                limit, *newest.connection->keep_alive_timeout() *
                           usable_keep_alive_percent / 100);
        if (boot_clock::now() - newest.since < limit &&
            newest.connection->is_open_and_idle())
            return std::move(newest.connection);
    }
    idle_.erase(endpoint_entry);
    return nullptr;
}

result<std::unique_ptr<http_connection>>
http_connection_pool::open(const http_endpoint& endpoint,
                           std::chrono::milliseconds timeout,
                           boost::asio::yield_context yield)
{
    return http_connection::connect(context_, endpoint, timeout, yield);
}

void http_connection_pool::release(std::unique_ptr<http_connection> connection)
{
    if (!connection->is_reusable())
        return;
    std::deque<idle_connection>& connections = idle_[connection->endpoint()];
    if (connections.size() >= max_idle_per_endpoint)
        connections.pop_front();
    connections.push_back({std::move(connection), boot_clock::now()});
}

void http_connection_pool::forget(const http_endpoint& endpoint)
{
    idle_.erase(endpoint);
}

void http_connection_pool::sweep()
{
    const time_point oldest = boot_clock::now() - max_idle_time;
    for (auto entry = idle_.begin(); entry != idle_.end();)
    {
        std::deque<idle_connection>& connections = entry->second;
        connections.erase(
            std::remove_if(connections.begin(), connections.end(),
                           [oldest](const idle_connection& idle) {
                               return idle.since < oldest ||
                                      !idle.connection->is_open_and_idle();
                           }),
            connections.end());
        entry = connections.empty() ? idle_.erase(entry) : std::next(entry);
    }
}

std::size_t http_connection_pool::idle_connections() const
{
    std::size_t total = 0;
    for (const auto& [endpoint, connections] : idle_)
        total += connections.size();
    return total;
}

} // namespace hibiscusferry
