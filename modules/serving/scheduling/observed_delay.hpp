#ifndef HIBISCUSFERRY_SERVING_SCHEDULING_OBSERVED_DELAY_HPP
#define HIBISCUSFERRY_SERVING_SCHEDULING_OBSERVED_DELAY_HPP

#include "foundation/foundation.hpp"
#include <algorithm>
#include <chrono>
#include <cmath>

namespace hibiscusferry
{

/** How much longer exchanges take than expected, of one target or of a whole
    stage of a service.

    Expected times are worked out from tokens. They know nothing of the links,
    of an engine that is slow, and of load that was told late; the difference
    of recent exchanges makes up for these. What was learned fades, so that a
    stage that was found too slow for anything is tried again.
*/
class observed_delay
{
public:
    /** An exchange that was expected to take `expected_ms` has taken
        `observed`. */
    void add(double expected_ms,
             std::chrono::duration<double, std::milli> observed, time_point now)
    {
        constexpr double newest_weight = 0.12;
        /** A single exchange that hangs says little of the others. */
        constexpr double greatest_ms = 500;
        const double difference =
            std::min(observed.count() - expected_ms, greatest_ms);
        const double before = mean_ms(now);
        mean_ms_ = before + newest_weight * (difference - before);
        exchanges_ = exchanges(now) + 1;
        updated_ = now;
    }

    /** The delay in milliseconds; 0 until something was observed. The less
        was observed of this target lately, the more it leans on its stage.
        @param others_exchanges  recent exchanges of other hosts
        @param others_delays_ms  the sum of their delays */
    double expected_ms(const observed_delay& stage, double others_exchanges,
                       double others_delays_ms, time_point now) const
    {
        /** Exchanges of a target that weigh as much as its whole stage. */
        constexpr double stage_weight = 3;
        const double own = exchanges(now);
        return (own * mean_ms(now) + others_delays_ms +
                stage_weight * stage.mean_ms(now)) /
               (own + others_exchanges + stage_weight);
    }

    /** How many recent exchanges the mean rests on. */
    double exchanges(time_point now) const
    {
        return exchanges_ * faded(now);
    }

    double mean_ms(time_point now) const
    {
        return mean_ms_ * faded(now);
    }

private:
    double faded(time_point now) const
    {
        constexpr std::chrono::duration<double> time_constant{2};
        const std::chrono::duration<double> elapsed = now - updated_;
        return std::exp(-(elapsed / time_constant));
    }

    double mean_ms_ = 0;
    double exchanges_ = 0;
    time_point updated_{};
};

/** What the targets of a service share in one host's eyes. */
struct service_delays
{
    observed_delay prefill_engines;
    observed_delay decode_engines;
};

} // namespace hibiscusferry

#endif
