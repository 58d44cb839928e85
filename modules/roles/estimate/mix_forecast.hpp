#ifndef HIBISCUSFERRY_ROLES_ESTIMATE_MIX_FORECAST_HPP
#define HIBISCUSFERRY_ROLES_ESTIMATE_MIX_FORECAST_HPP

#include "foundation/foundation.hpp"
#include "roles/model/token_demand.hpp"
#include <chrono>
#include <vector>

namespace hibiscusferry
{

/** Learns whether the demand repeats with a period, and foretells it.

    The demand is averaged over slots. For every candidate period the squared
    difference between the demand and that of one period ago is kept as a
    decaying sum, next to the variance. A period is trusted only while it
    explains most of the variance over at least two periods; a pattern that
    stops is dropped as the sums decay. Bounded: one hour of slots.
*/
class mix_forecast
{
public:
    static constexpr std::chrono::seconds slot{10};
    /** One hour. */
    static constexpr std::size_t kept_slots = 360;
    static constexpr std::size_t least_period_slots = 4;
    static constexpr std::size_t greatest_period_slots = 120;

    mix_forecast();

    /** Takes the demand that holds at `now`; calls come in order of time. */
    void observe(const engine_demand& demand, time_point now);

    /** The period that is trusted now, in slots, or 0. */
    std::size_t trusted_period() const;

    /** The demand foretold for each of `count` slots from `ahead` after the
        newest whole slot; empty when no period is trusted. */
    std::vector<engine_demand> coming(std::chrono::nanoseconds ahead,
                                      std::size_t count) const;

private:
    void close_slot();
    const engine_demand& slots_ago(std::size_t count) const;

    std::vector<engine_demand> slots_;
    std::size_t closed_ = 0;
    std::vector<double> period_error_;
    std::vector<double> period_weight_;
    double variance_ = 0;
    double variance_weight_ = 0;
    engine_demand mean_;
    std::size_t trusted_ = 0;

    bool started_ = false;
    time_point slot_end_;
    engine_demand sum_;
    std::size_t samples_ = 0;
};

} // namespace hibiscusferry

#endif
