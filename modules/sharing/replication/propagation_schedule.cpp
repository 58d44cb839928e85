#include "sharing/replication/propagation_schedule.hpp"

#include <algorithm>

namespace hibiscusferry
{

namespace
{

constexpr std::chrono::milliseconds min_time{200};
constexpr int unanswered_reads = 2;

} // namespace

propagation_schedule
propagation_schedule::divide(std::chrono::milliseconds time,
                             const propagation_shares& shares)
{
    const std::chrono::milliseconds divided_time = std::max(time, min_time);
    propagation_schedule schedule =
        of(divided_time * shares.relay_interval / 100,
           divided_time * shares.max_age / 100,
           divided_time * shares.response_delay / 100);
    schedule.time_ = divided_time;
    return schedule;
}

propagation_schedule
propagation_schedule::of(std::chrono::milliseconds relay_interval,
                         std::chrono::milliseconds max_age,
                         std::chrono::milliseconds response_delay)
{
    propagation_schedule schedule;
    schedule.relay_interval_ = relay_interval;
    schedule.max_age_ = max_age;
    schedule.response_delay_ = response_delay;
    schedule.time_ = schedule.longest_delay();
    return schedule;
}

std::chrono::milliseconds propagation_schedule::relay_interval() const
{
    return relay_interval_;
}

std::chrono::milliseconds propagation_schedule::max_age() const
{
    return max_age_;
}

std::chrono::milliseconds propagation_schedule::response_delay() const
{
    return response_delay_;
}

std::chrono::milliseconds
propagation_schedule::max_wait(std::chrono::milliseconds age) const
{
    return std::clamp(relay_interval_ - age, std::chrono::milliseconds(0),
                      relay_interval_);
}

std::chrono::milliseconds propagation_schedule::longest_delay() const
{
    return max_age_ + unanswered_reads * response_delay_;
}

std::chrono::milliseconds propagation_schedule::max_transfer_time() const
{
    return time_ - longest_delay();
}

} // namespace hibiscusferry
