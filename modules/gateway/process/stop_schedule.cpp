#include "gateway/process/stop_schedule.hpp"

#include <algorithm>

namespace hibiscusferry
{

namespace
{

/** After the first, the load balancer has noticed that the host is not ready;
    after the second, clients have reused most of their connections. */
constexpr std::chrono::milliseconds max_refuse_after{2600};
constexpr std::chrono::milliseconds max_close_idle_after{4200};
/** Reserved for the exit of the process. */
constexpr std::chrono::milliseconds max_exit_time{500};
/** Reserved for writing the last responses. */
constexpr std::chrono::milliseconds max_response_time{200};

/** Percentages of the grace period, if it is short. */
constexpr int refuse_percent = 33;
constexpr int close_idle_percent = 53;
constexpr int exit_percent = 10;
constexpr int response_percent = 5;

std::chrono::milliseconds share_of(std::chrono::milliseconds period,
                                   int percent,
                                   std::chrono::milliseconds maximum)
{
    return std::min<std::chrono::milliseconds>(period * percent / 100, maximum);
}

} // namespace

stop_schedule stop_schedule::divide(std::chrono::milliseconds grace_period)
{
    const std::chrono::milliseconds period =
        std::max(grace_period, std::chrono::milliseconds(0));
    stop_schedule schedule;
    schedule.refuse_after_ = share_of(period, refuse_percent, max_refuse_after);
    schedule.close_idle_after_ =
        share_of(period, close_idle_percent, max_close_idle_after);
    schedule.end_after_ =
        period - share_of(period, exit_percent, max_exit_time);
    schedule.last_deadline_ =
        schedule.end_after_ -
        share_of(period, response_percent, max_response_time);
    return schedule;
}

std::chrono::milliseconds stop_schedule::refuse_after() const
{
    return refuse_after_;
}

std::chrono::milliseconds stop_schedule::close_idle_after() const
{
    return close_idle_after_;
}

std::chrono::milliseconds stop_schedule::end_after() const
{
    return end_after_;
}

std::chrono::milliseconds stop_schedule::last_deadline() const
{
    return last_deadline_;
}

} // namespace hibiscusferry
