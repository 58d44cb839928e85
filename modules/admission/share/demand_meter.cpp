#include "admission/share/demand_meter.hpp"

#include <algorithm>
#include <cmath>

namespace hibiscusferry
{

namespace
{

/** The least history that a rate is taken from. */
constexpr double least_history_seconds = 1;

double seconds_between(time_point from, time_point to)
{
    return std::max(0.0, std::chrono::duration<double>(to - from).count());
}

} // namespace

demand_meter::demand_meter(time_point now)
    : summed_(now)
    , started_(now)
{
}

void demand_meter::add(double amount, time_point now)
{
    sum_ = decayed_sum(now) + amount;
    summed_ = std::max(summed_, now);
}

double demand_meter::per_second(time_point now) const
{
    const double constant = std::chrono::duration<double>(averaging).count();
    const double history =
        std::max(least_history_seconds, seconds_between(started_, now));
    return decayed_sum(now) / (constant * (1 - std::exp(-history / constant)));
}

std::chrono::nanoseconds demand_meter::age(time_point now) const
{
    return now - started_;
}

double demand_meter::decayed_sum(time_point now) const
{
    const double constant = std::chrono::duration<double>(averaging).count();
    return sum_ * std::exp(-seconds_between(summed_, now) / constant);
}

} // namespace hibiscusferry
