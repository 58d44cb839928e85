#ifndef HIBISCUSFERRY_SERVING_PLACING_OBSERVED_SLOWNESS_HPP
#define HIBISCUSFERRY_SERVING_PLACING_OBSERVED_SLOWNESS_HPP

#include "foundation/foundation.hpp"
#include <algorithm>
#include <chrono>
#include <cmath>

namespace hibiscusferry
{

/** The ratio of observed to expected times of exchanges, of one target or of
    a whole stage of a service.

    Expected times know neither the load from other hosts exactly nor the
    engine's speed; the ratio of recent exchanges makes up for both. It is
    averaged on a logarithmic scale, so that double and half weigh alike.
*/
class observed_slowness
{
public:
    /** An exchange that was expected to take `expected_ms` has taken
        `observed`. */
    void add(double expected_ms,
             std::chrono::duration<double, std::milli> observed, time_point now)
    {
        /** Fixed costs hide the ratio of shorter exchanges. */
        constexpr double least_ms = 8;
        constexpr double newest_weight = 0.12;
        constexpr double greatest = 8;
        const double expected = std::max(expected_ms, least_ms);
        const double seen = std::max(observed.count(), least_ms);
        const double ratio =
            std::clamp(seen / expected, 1 / greatest, greatest);
        logarithm_ += newest_weight * (std::log(ratio) - logarithm_);
        evidence_ = evidence(now) + 1;
        updated_ = now;
    }

    /** How many recent exchanges the ratio rests on. */
    double evidence(time_point now) const
    {
        constexpr std::chrono::duration<double> time_constant{1};
        const std::chrono::duration<double> elapsed = now - updated_;
        return evidence_ * std::exp(-(elapsed / time_constant));
    }

    /** The ratio; 1 until something was observed. The less was observed of
        this target lately, the more it leans on the ratio of its stage. */
    double factor(const observed_slowness& stage, time_point now) const
    {
        /** Exchanges of a target that weigh as much as its whole stage. */
        constexpr double stage_weight = 3;
        const double own_weight = evidence(now);
        return std::exp(
            (own_weight * logarithm_ + stage_weight * stage.logarithm_) /
            (own_weight + stage_weight));
    }

private:
    double logarithm_ = 0;
    double evidence_ = 0;
    time_point updated_{};
};

/** What the targets of a service share in one host's eyes. */
struct service_slowness
{
    observed_slowness readers;
    observed_slowness decoders;
};

} // namespace hibiscusferry

#endif
