#include "admission/share/demand_meter.hpp"

#include <algorithm>
#include <cmath>

namespace hibiscusferry
{

namespace
{

/** The rate is computed over at least this time. */
constexpr double min_history_seconds = 1;

double seconds_between(time_point from, time_point to)
{
    return std::max(0.0, std::chrono::duration<double>(to - from).count());
}

} // namespace

demand_meter::demand_meter(time_point now)
    : updated_at_(now)
    , started_at_(now)
{
}

void demand_meter::add(double amount, time_point now)
{
    sum_ = decayed_sum(now) + amount;
    updated_at_ = std::max(updated_at_, now);
}

double demand_meter::per_second(time_point now) const
{
    const double time_constant_seconds =
        std::chrono::duration<double>(time_constant).count();
    const double history_seconds =
        std::max(min_history_seconds, seconds_between(started_at_, now));
    return decayed_sum(now) /
           (time_constant_seconds *
            (1 - std::exp(-history_seconds / time_constant_seconds)));
}

std::chrono::nanoseconds demand_meter::age(time_point now) const
{
    return now - started_at_;
}

double demand_meter::decayed_sum(time_point now) const
{
    const double time_constant_seconds =
        std::chrono::duration<double>(time_constant).count();
    return sum_ *
           std::exp(-seconds_between(updated_at_, now) / time_constant_seconds);
}

} // namespace hibiscusferry
