#ifndef HIBISCUSFERRY_ADMISSION_QUEUE_DRAIN_RATE_HPP
#define HIBISCUSFERRY_ADMISSION_QUEUE_DRAIN_RATE_HPP

#include "foundation/foundation.hpp"
#include <chrono>
#include <optional>

namespace hibiscusferry
{

/** Measures how fast a queue is emptied while it is not empty: the capacity
    that this host gets of the service.

    Only windows in which requests waited all the time count; a mean over
    them follows changes within a few seconds.
*/
class drain_rate
{
public:
    static constexpr std::chrono::seconds window{1};
    /** Weight of the newest window. */
    static constexpr double newest_weight = 0.3;

    /** Work of `cost` left the queue.
        @param still_waiting  whether others wait behind it */
    void taken(double cost, bool still_waiting, time_point now);

    /** Weighted tokens a second, or none before the first full window. */
    std::optional<double> tokens_per_second() const;

private:
    std::optional<time_point> window_start_;
    double window_cost_ = 0;
    std::optional<double> rate_;
};

} // namespace hibiscusferry

#endif
