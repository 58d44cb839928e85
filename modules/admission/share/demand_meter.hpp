#ifndef HIBISCUSFERRY_ADMISSION_SHARE_DEMAND_METER_HPP
#define HIBISCUSFERRY_ADMISSION_SHARE_DEMAND_METER_HPP

#include "foundation/foundation.hpp"
#include <chrono>

namespace hibiscusferry
{

/** Measures a rate as an exponential moving average, corrected for the bias of
    a short history. */
class demand_meter
{
public:
    /** Time constant of the moving average. */
    static constexpr std::chrono::seconds time_constant{5};

    /** @param now  the start of the measurement */
    explicit demand_meter(time_point now);

    void add(double amount, time_point now);

    /** Returns the amount per second. */
    double per_second(time_point now) const;

    /** Returns the time since the start of the measurement. */
    std::chrono::nanoseconds age(time_point now) const;

private:
    double decayed_sum(time_point now) const;

    double sum_ = 0;
    time_point updated_at_;
    time_point started_at_;
};

} // namespace hibiscusferry

#endif
