#include "gateway/process/listener_limits.hpp"

#include <algorithm>

namespace hibiscusferry
{

namespace
{

constexpr std::size_t reserved_descriptors = 200;
constexpr std::size_t other_memory_bytes = 48U << 20;

/** Readiness checks and requests for metrics have no body; the operators' pages
    take small ones. */
constexpr std::size_t max_page_request_bytes = 64U << 10;

/** The load balancer and a few tools are the only legitimate clients. */
constexpr std::size_t max_page_connections = 64;
constexpr std::size_t page_memory_bytes = 6U << 20;

/** A relay of the largest fleet serves 370 hosts, from one connection each. */
constexpr std::size_t max_peer_connections = 512;
constexpr std::size_t peer_memory_bytes = 32U << 20;

http_server_limits page_limits()
{
    http_server_limits limits;
    limits.body_bytes = max_page_request_bytes;
    limits.connections = max_page_connections;
    // The requests are short, and a new one must not wait for a crowd.
    limits.min_drop_age = std::chrono::milliseconds(0);
    limits.memory = std::make_shared<memory_budget>(page_memory_bytes);
    return limits;
}

} // namespace

std::size_t client_memory_bytes(const host_settings& settings)
{
    const std::size_t total = settings.memory_bytes;
    const std::size_t left =
        total > other_memory_bytes ? total - other_memory_bytes : 0;
    return std::max(total / 2, std::min(left, total / 4 * 3));
}

std::size_t max_caller_connections(const host_settings& settings)
{
    const std::size_t usable =
        std::max(settings.max_descriptors, reserved_descriptors) -
        reserved_descriptors;
    return std::max<std::size_t>(usable / 5 * 3, 1);
}

http_server_limits readiness_limits()
{
    return page_limits();
}

http_server_limits metrics_limits()
{
    return page_limits();
}

http_server_limits peer_limits()
{
    http_server_limits limits;
    limits.connections = max_peer_connections;
    limits.memory = std::make_shared<memory_budget>(peer_memory_bytes);
    return limits;
}

} // namespace hibiscusferry
