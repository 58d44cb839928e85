#ifndef HIBISCUSFERRY_SERVING_LIMITS_CONTROLLED_DELAY_HPP
#define HIBISCUSFERRY_SERVING_LIMITS_CONTROLLED_DELAY_HPP

#include "foundation/foundation.hpp"
#include <chrono>
#include <optional>

namespace hibiscusferry
{

/** Decides which requests a host refuses unprocessed because it receives more
    than its processor can handle.

    Overload is detected by the time that requests wait for the processor, not
    by their number, which depends on what each of them costs. During a burst a
    request may wait for up to half of the latency objective, since it would be
    late if it were refused and sent again. If the queue has not been empty for
    longer than that, the load exceeds the capacity and the wait serves no
    purpose: only requests that waited for a short time are processed, and so
    have the rest of the objective left for their targets.
*/
class controlled_delay
{
public:
    /** @param objective  the strictest latency objective of all routes; without
                          one, nothing is refused for its wait */
    void
    set_latency_objective(std::optional<std::chrono::nanoseconds> objective);

    /** Records that no request is waiting. */
    void record_empty_queue(time_point now);

    /** Whether a request is processed whose turn has come.
        @param wait  time since the arrival of the request */
    bool admits(std::chrono::nanoseconds wait, time_point now) const;

private:
    bool is_overloaded(time_point now) const;
    std::chrono::nanoseconds max_wait(time_point now) const;
    std::chrono::nanoseconds part_of_objective(int divisor) const;

    std::optional<std::chrono::nanoseconds> objective_;
    time_point last_empty_at_{};
};

} // namespace hibiscusferry

#endif
