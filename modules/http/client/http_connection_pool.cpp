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

void http_connection_pool::on_invalid_response(
    invalid_response_observer observer)
{
    on_invalid_response_ = std::move(observer);
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

bool http_connection_pool::idle_connection::is_usable(
    std::chrono::milliseconds idle_limit) const
{
    std::chrono::milliseconds limit = idle_limit;
    if (connection->keep_alive_timeout())
        limit = std::min<std::chrono::milliseconds>(
            limit, *connection->keep_alive_timeout() *
                       usable_keep_alive_percent / 100);
    return boot_clock::now() - since < limit && connection->is_open_and_idle();
}

std::unique_ptr<http_connection>
http_connection_pool::take_idle(const http_endpoint& endpoint,
                                std::chrono::milliseconds idle_limit,
                                std::string_view exchange_id)
{
    const auto endpoint_entry = idle_.find(endpoint);
    if (endpoint_entry == idle_.end())
        return nullptr;
    std::deque<idle_connection>& connections = endpoint_entry->second;
    std::unique_ptr<http_connection> taken;
    for (std::size_t index = connections.size(); !taken && index > 0; --index)
    {
        idle_connection& candidate = connections[index - 1];
        const bool is_usable = candidate.is_usable(idle_limit);
        if (is_usable && !exchange_id.empty() &&
            candidate.connection->has_carried(exchange_id))
            continue;
        if (is_usable)
            taken = std::move(candidate.connection);
        connections.erase(connections.begin() +
                          static_cast<std::ptrdiff_t>(index - 1));
    }
    if (connections.empty())
        idle_.erase(endpoint_entry);
    return taken;
}

result<std::unique_ptr<http_connection>>
http_connection_pool::open(const http_endpoint& endpoint,
                           std::chrono::milliseconds timeout,
                           boost::asio::yield_context yield)
{
    result<std::unique_ptr<http_connection>> connection =
        http_connection::connect(context_, endpoint, timeout, yield);
    if (connection)
        connection.value()->on_invalid_response(on_invalid_response_);
    return connection;
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
