#ifndef HIBISCUSFERRY_SERVING_SCHEDULING_OBSERVED_DELAY_HPP
#define HIBISCUSFERRY_SERVING_SCHEDULING_OBSERVED_DELAY_HPP

#include "foundation/foundation.hpp"
#include "serving/scheduling/event_gap_estimate.hpp"
#include <algorithm>
#include <chrono>
#include <cmath>

namespace hibiscusferry
{

/** Moving average of how much longer exchanges take than estimated, for one
    target or for a whole stage of a service.

    Estimates are derived from token counts. They do not account for network
    links, slow engines or load reports that arrive late; the average
    difference of recent exchanges corrects them. The average decays over time,
    so that a stage whose delay rules out every request receives requests again
    and can be measured anew.
*/
class observed_delay
{
public:
    /** Records a finished exchange.
        @param expected_ms  its estimated duration
        @param observed     its actual duration
        @param objective    the latency objective of the request */
    void add(double expected_ms,
             std::chrono::duration<double, std::milli> observed,
             std::chrono::milliseconds objective, time_point now)
    {
        constexpr double newest_exchange_weight = 0.12;
        // Limits the influence of a single exchange that hangs.
        constexpr double max_difference_objectives = 3;
        const double difference = std::min(
            observed.count() - expected_ms,
            max_difference_objectives * static_cast<double>(objective.count()));
        const double previous_mean_ms = mean_ms(now);
        mean_ms_ = previous_mean_ms +
                   newest_exchange_weight * (difference - previous_mean_ms);
        exchanges_ = exchanges(now) + 1;
        updated_at_ = now;
    }

    /** Returns the expected delay of this target in milliseconds, or 0 if no
        exchange has been observed. The fewer recent exchanges of the target
        there are, the more the delay of its stage counts.
        @param stage                the delay observed for the whole stage
        @param remote_exchanges     recent exchanges of other hosts
        @param remote_delay_sum_ms  the sum of their delays */
    double expected_ms(const observed_delay& stage, double remote_exchanges,
                       double remote_delay_sum_ms, time_point now) const
    {
        // Number of exchanges with a target that weigh as much as its stage.
        constexpr double stage_weight = 3;
        const double local_exchanges = exchanges(now);
        return (local_exchanges * mean_ms(now) + remote_delay_sum_ms +
                stage_weight * stage.mean_ms(now)) /
               (local_exchanges + remote_exchanges + stage_weight);
    }

    /** Returns the decayed number of exchanges behind the mean. */
    double exchanges(time_point now) const
    {
        return exchanges_ * decay_factor(now);
    }

    double mean_ms(time_point now) const
    {
        return mean_ms_ * decay_factor(now);
    }

private:
    double decay_factor(time_point now) const
    {
        constexpr std::chrono::duration<double> time_constant{2};
        const std::chrono::duration<double> elapsed = now - updated_at_;
        return std::exp(-(elapsed / time_constant));
    }

    double mean_ms_ = 0;
    double exchanges_ = 0;
    time_point updated_at_{};
};

/** Delays that this host has observed for the stages of a service, and the gaps
    between the events of its streams. */
struct service_delays
{
    observed_delay prefill_engines;
    observed_delay decode_engines;
    event_gap_estimate event_gaps;
};

} // namespace hibiscusferry

#endif
