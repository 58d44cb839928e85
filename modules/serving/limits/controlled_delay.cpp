#include "serving/limits/controlled_delay.hpp"

#include <algorithm>

namespace hibiscusferry
{

namespace
{

/** Parts of the latency objective that a request may wait during a burst and
    under overload. */
constexpr int burst_wait_divisor = 2;
constexpr int overload_wait_divisor = 6;

/** A limit below the duration of a few passes of the event loop would refuse
    everything. */
constexpr std::chrono::milliseconds min_wait_limit{10};

} // namespace

void controlled_delay::set_latency_objective(
    std::optional<std::chrono::nanoseconds> objective)
{
    objective_ = objective;
}

void controlled_delay::record_empty_queue(time_point now)
{
    last_empty_at_ = now;
}

bool controlled_delay::admits(std::chrono::nanoseconds wait,
                              time_point now) const
{
    return !objective_ || wait <= max_wait(now);
}

bool controlled_delay::is_overloaded(time_point now) const
{
    return objective_ &&
           now - last_empty_at_ > part_of_objective(burst_wait_divisor);
}

std::chrono::nanoseconds controlled_delay::max_wait(time_point now) const
{
    return part_of_objective(is_overloaded(now) ? overload_wait_divisor
                                                : burst_wait_divisor);
}

std::chrono::nanoseconds controlled_delay::part_of_objective(int divisor) const
{
    return std::max<std::chrono::nanoseconds>(*objective_ / divisor,
                                              min_wait_limit);
}

} // namespace hibiscusferry
