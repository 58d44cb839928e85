#ifndef HIBISCUSFERRY_SERVING_SCHEDULING_EVENT_GAP_ESTIMATE_HPP
#define HIBISCUSFERRY_SERVING_SCHEDULING_EVENT_GAP_ESTIMATE_HPP

#include "foundation/foundation.hpp"
#include <algorithm>
#include <chrono>
#include <cmath>
#include <optional>

namespace hibiscusferry
{

/** The gaps between the events of recent streams, of one engine or of all
    engines of a service, as this host observed them.

    Designed for streams of few events that each hold dozens of tokens, so that
    a slow engine exceeds the gap objective of a route although its first event
    is early. Gaps are kept as those of an engine at its usual speed: observed
    gaps are divided by the slowness that the engine reported.
*/
class event_gap_estimate
{
public:
    /** Records the gap between two events.
        @param slowness  the slowness of the engine; 1 if it is not known */
    void add(std::chrono::duration<double, std::milli> gap, double slowness,
             time_point now)
    {
        sums_ = sums_at(now);
        updated_at_ = now;
        double gap_ms = gap.count() / slowness;
        // Limits the influence of a single stream that hangs.
        constexpr double max_excess_factor = 4;
        if (sums_.gaps >= min_gaps)
            gap_ms = std::min(gap_ms,
                              max_excess_factor * sums_.total_ms / sums_.gaps);
        sums_.gaps += 1;
        sums_.total_ms += gap_ms;
        sums_.total_squares += gap_ms * gap_ms;
    }

    /** Returns the gap that few gaps of an engine exceed, in milliseconds. None
        if too few gaps were observed.
        @param service   the gaps of all engines of the service; they count for
                         an engine that reports its slowness
        @param slowness  the slowness of the engine; none if it does not report
                         it */
    std::optional<double> upper_gap_ms(const event_gap_estimate& service,
                                       std::optional<double> slowness,
                                       time_point now) const
    {
        gap_sums sums = sums_at(now);
        const gap_sums of_service = service.sums_at(now);
        if (slowness && of_service.gaps >= min_gaps)
            sums = sums + of_service * (min_gaps / of_service.gaps);
        if (sums.gaps < min_gaps)
            return std::nullopt;
        const double mean_ms = sums.total_ms / sums.gaps;
        const double variance =
            std::max(sums.total_squares / sums.gaps - mean_ms * mean_ms, 0.0);
        // Exceeded by one gap in forty if the gaps are distributed normally.
        constexpr double margin_deviations = 2;
        return slowness.value_or(1) *
               (mean_ms + margin_deviations * std::sqrt(variance));
    }

private:
    struct gap_sums
    {
        double gaps = 0;
        double total_ms = 0;
        double total_squares = 0;

        gap_sums operator*(double factor) const
        {
            return {gaps * factor, total_ms * factor, total_squares * factor};
        }

        gap_sums operator+(const gap_sums& other) const
        {
            return {gaps + other.gaps, total_ms + other.total_ms,
                    total_squares + other.total_squares};
        }
    };

    /** Gaps that are needed for a mean and a deviation. */
    static constexpr double min_gaps = 3;

    gap_sums sums_at(time_point now) const
    {
        // An engine that receives no streams because its gaps were too long is
        // tried again once most of them are forgotten.
        constexpr std::chrono::duration<double> time_constant{30};
        const std::chrono::duration<double> elapsed = now - updated_at_;
        return sums_ * std::exp(-std::max(elapsed / time_constant, 0.0));
    }

    gap_sums sums_;
    time_point updated_at_{};
};

} // namespace hibiscusferry

#endif
