#ifndef HIBISCUSFERRY_ADMISSION_QUEUE_DRAIN_RATE_HPP
#define HIBISCUSFERRY_ADMISSION_QUEUE_DRAIN_RATE_HPP

#include "foundation/foundation.hpp"
#include <chrono>
#include <optional>

namespace hibiscusferry
{

/** Measures the rate at which requests leave a queue while it is not empty.
    This is the share of the service's capacity that this host receives.

    The rate is a moving average over windows during which the queue was never
    empty. It follows changes within a few seconds.
*/
class drain_rate
{
public:
    static constexpr std::chrono::seconds window{1};
    /** Weight of the latest window in the moving average. */
    static constexpr double smoothing_factor = 0.3;

    /** Records that a request of `cost` left the queue.
        @param still_waiting  whether other requests are still waiting */
    void record_departure(double cost, bool still_waiting, time_point now);

    /** Returns the rate in weighted tokens per second, or none before the
        first complete window. */
    std::optional<double> tokens_per_second() const;

private:
    std::optional<time_point> window_start_;
    double window_cost_ = 0;
    std::optional<double> rate_;
};

} // namespace hibiscusferry

#endif
