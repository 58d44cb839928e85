#include "sharing/usage/fleet_clock.hpp"

#include <algorithm>

namespace hibiscusferry
{

namespace
{

/** A response with a longer round trip says little about the time. */
constexpr std::chrono::milliseconds max_round_trip{1000};
constexpr std::chrono::milliseconds round_trip_tolerance{5};

} // namespace

fleet_clock::fleet_clock(fleet_time time_of_day, time_point now)
    : offset_(time_of_day - now.time_since_epoch())
    , best_round_trip_(max_round_trip)
{
}

void fleet_clock::synchronize(fleet_time agreed_time, time_point sent_at,
                              time_point received_at)
{
    const std::chrono::nanoseconds round_trip = received_at - sent_at;
    best_round_trip_ += round_trip_tolerance;
    if (round_trip >
        std::min<std::chrono::nanoseconds>(
            2 * best_round_trip_ + round_trip_tolerance, max_round_trip))
        return;
    best_round_trip_ = std::min(best_round_trip_, round_trip);
    set(agreed_time, sent_at + round_trip / 2);
}

void fleet_clock::set(fleet_time agreed_time, time_point now)
{
    offset_ = agreed_time - now.time_since_epoch();
    is_synchronized_ = true;
}

fleet_time fleet_clock::time(time_point at) const
{
    return std::chrono::duration_cast<fleet_time>(at.time_since_epoch() +
                                                  offset_);
}

bool fleet_clock::is_synchronized() const
{
    return is_synchronized_;
}

} // namespace hibiscusferry
