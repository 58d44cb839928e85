#ifndef HIBISCUSFERRY_GATEWAY_REQUEST_REQUEST_LIMITS_HPP
#define HIBISCUSFERRY_GATEWAY_REQUEST_REQUEST_LIMITS_HPP

#include <chrono>

// Limits shared by the request classes; private to the module.

namespace hibiscusferry
{

/** Lower bound of the timeouts after which a repeatable request or a resumable
    stream is retried at another target. */
constexpr std::chrono::milliseconds min_first_byte_timeout{500};

/** Remaining time below which no attempt is made. */
constexpr std::chrono::milliseconds min_time_to_attempt{15};

/** Basis of the retry delay while no target accepts requests: about the time
    until the recovery of a crashed target is detected. */
constexpr std::chrono::milliseconds no_target_backlog{300};

inline bool is_server_error(unsigned status)
{
    return status >= 500;
}

} // namespace hibiscusferry

#endif
