#ifndef HIBISCUSFERRY_GATEWAY_REQUEST_REQUEST_LIMITS_HPP
#define HIBISCUSFERRY_GATEWAY_REQUEST_REQUEST_LIMITS_HPP

#include <chrono>

// Private to the module: limits that several parts of a request's way use.

namespace hibiscusferry
{

/** A target that may be replaced is never given up before this long without a
    byte. */
constexpr std::chrono::milliseconds shortest_first_byte_limit{500};

/** Remaining time below which an offer is not worth sending. */
constexpr std::chrono::milliseconds min_time_to_attempt{15};

/** When to come back if no target takes work: about when a crashed one is
    found to be back. */
constexpr std::chrono::milliseconds backlog_without_targets{300};

} // namespace hibiscusferry

#endif
