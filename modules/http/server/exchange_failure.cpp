#include "http/server/exchange_failure.hpp"

#include <array>

namespace hibiscusferry
{

std::string_view to_text(exchange_failure_cause cause)
{
    constexpr std::array<std::string_view, 16> names{
        "connection_limit",       "request_broken",
        "request_timeout",        "request_invalid",
        "client_disconnected",    "write_failed",
        "write_timeout",          "response_incomplete",
        "handler_exception",      "server_closed",
        "too_many_fields",        "memory_short",
        "slow_client_dropped",    "connection_dropped",
        "request_length_unknown", "request_coding_unknown"};
    return names[static_cast<std::size_t>(cause)];
}

} // namespace hibiscusferry
