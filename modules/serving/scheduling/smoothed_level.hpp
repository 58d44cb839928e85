#ifndef HIBISCUSFERRY_SERVING_SCHEDULING_SMOOTHED_LEVEL_HPP
#define HIBISCUSFERRY_SERVING_SCHEDULING_SMOOTHED_LEVEL_HPP

#include "foundation/foundation.hpp"
#include <chrono>
#include <cmath>

namespace hibiscusferry
{

/** A level that changes in steps, and its exponentially weighted mean over
    time. */
class smoothed_level
{
public:
    void add(double step, time_point now)
    {
        mean_ = mean(now);
        updated_ = now;
        level_ += step;
        // Steps of tokens are fractions; their sum ends a little off zero.
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
        /** Long against one request, short against a burst of seconds. */
        constexpr std::chrono::duration<double> time_constant{0.25};
        const std::chrono::duration<double> elapsed = now - updated_;
        const double kept = std::exp(-(elapsed / time_constant));
        return level_ + (mean_ - level_) * kept;
    }

private:
    double level_ = 0;
    double mean_ = 0;
    time_point updated_{};
};

} // namespace hibiscusferry

#endif
