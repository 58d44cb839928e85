#include "http/client/http_connection_pool.hpp"

namespace hibiscusferry
{

http_connection_pool::http_connection_pool(boost::asio::io_context& context)
    : context_(context)
{
}

result<std::unique_ptr<http_connection>>
http_connection_pool::take(const http_endpoint& endpoint,
                           std::chrono::milliseconds time_limit,
                           boost::asio::yield_context yield)
{
    const auto found = idle_.find(endpoint);
    if (found != idle_.end() && !found->second.empty())
    {
        idle_connection newest = std::move(found->second.back());
        found->second.pop_back();
        if (boot_clock::now() - newest.since < longest_idle)
            return std::move(newest.connection);
        // The newest is too old, so all are.
        idle_.erase(found);
    }
    return open(endpoint, time_limit, yield);
}

result<std::unique_ptr<http_connection>>
http_connection_pool::open(const http_endpoint& endpoint,
                           std::chrono::milliseconds time_limit,
                           boost::asio::yield_context yield)
{
    return http_connection::connect(context_, endpoint, time_limit, yield);
}

void http_connection_pool::give_back(
    std::unique_ptr<http_connection> connection)
{
    if (!connection->is_reusable())
        return;
    std::deque<idle_connection>& kept = idle_[connection->endpoint()];
    if (kept.size() >= most_idle_per_endpoint)
        kept.pop_front();
    kept.push_back({std::move(connection), boot_clock::now()});
}

void http_connection_pool::forget(const http_endpoint& endpoint)
{
    idle_.erase(endpoint);
}

std::size_t http_connection_pool::idle_connections() const
{
    std::size_t total = 0;
    for (const auto& [endpoint, kept] : idle_)
        total += kept.size();
    return total;
}

} // namespace hibiscusferry
