#include "http/client/http_connection_pool.hpp"

#include <algorithm>

namespace hibiscusferry
{

namespace
{

/** Idle connections are used only well before the other side's announced
    limit, so that its close does not cross a request. */
constexpr int announced_idle_percent = 70;

} // namespace

http_connection_pool::http_connection_pool(boost::asio::io_context& context)
    : context_(context)
{
}

result<std::unique_ptr<http_connection>>
http_connection_pool::take(const http_endpoint& endpoint,
                           std::chrono::milliseconds time_limit,
                           boost::asio::yield_context yield)
{
    std::unique_ptr<http_connection> idle = take_idle(endpoint, longest_idle);
    if (idle)
        return idle;
    return open(endpoint, time_limit, yield);
}

std::unique_ptr<http_connection>
http_connection_pool::take_idle(const http_endpoint& endpoint,
                                std::chrono::milliseconds idle_limit)
{
    const auto found = idle_.find(endpoint);
    if (found == idle_.end())
        return nullptr;
    while (!found->second.empty())
    {
        idle_connection newest = std::move(found->second.back());
        found->second.pop_back();
        std::chrono::milliseconds limit = idle_limit;
        if (newest.connection->announced_idle_limit())
            limit = std::min<std::chrono::milliseconds>(
                limit, *newest.connection->announced_idle_limit() *
                           announced_idle_percent / 100);
        if (boot_clock::now() - newest.since < limit &&
            newest.connection->is_quiet())
            return std::move(newest.connection);
    }
    idle_.erase(found);
    return nullptr;
}

result<std::unique_ptr<http_connection>>
http_connection_pool::open(const http_endpoint& endpoint,
                           std::chrono::milliseconds time_limit,
                           boost::asio::yield_context yield)
{
    return http_connection::connect(context_, endpoint, time_limit, yield);
}

void http_connection_pool::release(std::unique_ptr<http_connection> connection)
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

void http_connection_pool::sweep()
{
    const time_point oldest = boot_clock::now() - longest_idle;
    for (auto entry = idle_.begin(); entry != idle_.end();)
    {
        std::deque<idle_connection>& kept = entry->second;
        kept.erase(std::remove_if(kept.begin(), kept.end(),
                                  [oldest](const idle_connection& idle) {
                                      return idle.since < oldest ||
                                             !idle.connection->is_quiet();
                                  }),
                   kept.end());
        entry = kept.empty() ? idle_.erase(entry) : std::next(entry);
    }
}

std::size_t http_connection_pool::idle_connections() const
{
    std::size_t total = 0;
    for (const auto& [endpoint, kept] : idle_)
        total += kept.size();
    return total;
}

} // namespace hibiscusferry
