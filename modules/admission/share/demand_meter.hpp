#ifndef HIBISCUSFERRY_ADMISSION_SHARE_DEMAND_METER_HPP
#define HIBISCUSFERRY_ADMISSION_SHARE_DEMAND_METER_HPP

#include "foundation/foundation.hpp"
#include <chrono>

namespace hibiscusferry
{

/** A rate as an exponential running mean, without the bias of a short
    history. */
class demand_meter
{
public:
    /** Time constant of the mean. */
    static constexpr std::chrono::seconds averaging{5};

    /** @param now  since when amounts are counted */
    explicit demand_meter(time_point now);

    void add(double amount, time_point now);

    /** Amount a second. */
    double per_second(time_point now) const;

    /** How long it has been counting. */
    std::chrono::nanoseconds age(time_point now) const;

private:
    double decayed_sum(time_point now) const;

    double sum_ = 0;
    time_point summed_;
    time_point started_;
};

} // namespace hibiscusferry

#endif
