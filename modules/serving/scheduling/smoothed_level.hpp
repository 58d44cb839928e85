#ifndef HIBISCUSFERRY_SERVING_SCHEDULING_SMOOTHED_LEVEL_HPP
#define HIBISCUSFERRY_SERVING_SCHEDULING_SMOOTHED_LEVEL_HPP

#include "foundation/foundation.hpp"
#include <chrono>
#include <cmath>

namespace hibiscusferry
{

/** A quantity that changes in steps, with its exponentially weighted moving
    average over time. */
class smoothed_level
{
public:
    void add(double step, time_point now)
    {
        mean_ = mean(now);
        updated_at_ = now;
        level_ += step;
        // Token counts may be fractions, so sums do not return to exactly zero.
        constexpr double rounding = 1e-6;
        if (level_ < rounding)
            level_ = 0;
    }

    double level() const
    {
        return level_;
    }

    double mean(time_point now) const
    {
        // Longer than a single request, shorter than a burst of seconds.
        constexpr std::chrono::duration<double> time_constant{0.25};
        const std::chrono::duration<double> elapsed = now - updated_at_;
        const double decay_factor = std::exp(-(elapsed / time_constant));
        return level_ + (mean_ - level_) * decay_factor;
    }

private:
    double level_ = 0;
    double mean_ = 0;
    time_point updated_at_{};
};

} // namespace hibiscusferry

#endif
