#ifndef HIBISCUSFERRY_ADMISSION_QUEUE_QUEUED_REQUEST_HPP
#define HIBISCUSFERRY_ADMISSION_QUEUE_QUEUED_REQUEST_HPP

#include "foundation/foundation.hpp"
#include <chrono>
#include <cstdint>
#include <string>

namespace hibiscusferry
{

/** Identifies a request within one router process. The router assigns it
    and never reuses it. */
using request_number = std::uint64_t;

/** The priority lane in which a request waits. */
enum class queue_lane
{
    urgent,
    normal
};

/** A request to be queued. */
struct queued_request
{
    request_number number = 0;
    std::string workspace;
    queue_lane lane = queue_lane::normal;
    /** Estimated cost in weighted tokens, greater than 0. */
    double cost = 1;
    /** When the caller must have received the response. */
    time_point deadline;
    /** Expected run time of the request after it has been sent. */
    std::chrono::milliseconds expected_run{0};
};

/** Why a request was refused without having run. */
enum class refusal_reason
{
    queue_full, ///< the queue is full and this workspace has the most queued
    too_late,   ///< it would not complete by its deadline
    deadline_passed, ///< its deadline was exceeded while it waited
    over_limit,      ///< its workspace exceeds its rate limit
    no_target,       ///< no target can accept it
    draining         ///< the router is stopping; set only by the daemon
};

/** Returns the error code sent to callers, such as "queue_full". */
std::string_view to_text(refusal_reason reason);

/** The final response to a request that was not run. It is sent to the caller
    immediately, with the outcome not_run and this Retry-After value. */
struct request_refusal
{
    request_number number = 0;
    std::string workspace;
    refusal_reason reason = refusal_reason::queue_full;
    /** Whole seconds, at least one. */
    std::chrono::seconds retry_after{1};
};

} // namespace hibiscusferry

#endif
