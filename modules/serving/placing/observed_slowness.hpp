#ifndef HIBISCUSFERRY_SERVING_PLACING_OBSERVED_SLOWNESS_HPP
#define HIBISCUSFERRY_SERVING_PLACING_OBSERVED_SLOWNESS_HPP

#include <algorithm>
#include <chrono>
#include <cmath>

namespace hibiscusferry
{

/** The ratio of observed to expected times of a target's exchanges.

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
             std::chrono::duration<double, std::milli> observed)
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
    }

    /** 1 until something was observed. */
    double factor() const
    {
        return std::exp(logarithm_);
    }

private:
    double logarithm_ = 0;
};

} // namespace hibiscusferry

#endif
