#ifndef HIBISCUSFERRY_GATEWAY_REQUEST_REQUEST_LIMITS_HPP
#define HIBISCUSFERRY_GATEWAY_REQUEST_REQUEST_LIMITS_HPP

#include <algorithm>
#include <array>
#include <chrono>
#include <string>

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

/** Returns the status as a label of a metric. A target may send any number, so
    only the usual ones are told apart. */
inline std::string status_label(unsigned status)
{
    constexpr std::array<unsigned, 11> usual{200, 400, 404, 408, 413, 421,
                                             429, 500, 502, 503, 504};
    return std::find(usual.begin(), usual.end(), status) != usual.end()
               ? std::to_string(status)
               : "other";
}

} // namespace hibiscusferry

#endif
