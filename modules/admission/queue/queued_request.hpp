#ifndef HIBISCUSFERRY_ADMISSION_QUEUE_QUEUED_REQUEST_HPP
#define HIBISCUSFERRY_ADMISSION_QUEUE_QUEUED_REQUEST_HPP

#include "foundation/foundation.hpp"
#include <chrono>
#include <cstdint>
#include <string>

namespace hibiscusferry
{

/** Names a request within one router process; given by the router, never
    used twice. */
using request_number = std::uint64_t;

/** Which of the two priorities a request waits in. */
enum class queue_lane
{
    urgent,
    normal
};

/** A request that is to wait for its turn. */
struct queued_request
{
    request_number number = 0;
    std::string workspace;
    queue_lane lane = queue_lane::normal;
    /** Estimated cost in weighted tokens; more than 0. */
    double cost = 1;
    /** When the caller must have its answer. */
    time_point deadline;
    /** The time that the request is expected to run once it is sent. */
    std::chrono::milliseconds expected_run{0};
};

/** Why a request is refused before it ran. */
enum class refusal_reason
{
    queue_full,      ///< the queue is full and this workspace fills it most
    too_late,        ///< it would not be answered by its deadline
    deadline_passed, ///< its deadline came while it waited
    over_limit,      ///< its workspace is over its rate
    no_target,       ///< no target can take it
    draining         ///< the router stops; for the daemon's own use
};

/** "queue_full", "too_late" and so on: the error code for callers. */
std::string_view to_text(refusal_reason reason);

/** The final answer to a request that was not run. It goes to the caller at
    once, with the outcome not_run and this Retry-After. */
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
