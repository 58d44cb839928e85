#ifndef HIBISCUSFERRY_ROLES_ESTIMATE_MIX_FORECAST_HPP
#define HIBISCUSFERRY_ROLES_ESTIMATE_MIX_FORECAST_HPP

#include "foundation/foundation.hpp"
#include "roles/model/token_demand.hpp"
#include <chrono>
#include <vector>

namespace hibiscusferry
{

/** Detects whether the demand is periodic, and predicts it if so.

    The demand is averaged over slots of fixed duration. For every candidate
    period, a decaying sum accumulates the squared differences between the
    demand of a slot and that of the slot one period earlier. A period is
    trusted only while it explains most of the variance over at least two
    periods. When a periodic pattern ends, the sums decay and the period is no
    longer trusted. Memory is bounded by one hour of slots.
*/
class mix_forecast
{
public:
    static constexpr std::chrono::seconds slot_duration{10};
    /** The number of slots in one hour. */
    static constexpr std::size_t retained_slots = 360;
    static constexpr std::size_t min_period_slots = 4;
    static constexpr std::size_t max_period_slots = 120;

    mix_forecast();

    /** Records the demand at the time `now`. Calls must be in chronological
        order. */
    void observe(const engine_demand& demand, time_point now);

    /** The trusted period in slots, or 0 if no period is trusted. */
    std::size_t trusted_period() const;

    /** Predicts the demand of consecutive slots.
        @param ahead  the offset of the first predicted slot from the end of
                      the last complete slot
        @param count  the number of slots to predict
        @returns the predicted demand of each slot; empty if no period is
                 trusted */
    std::vector<engine_demand> predict(std::chrono::nanoseconds ahead,
                                       std::size_t count) const;

private:
    void close_slot();
    const engine_demand& slot_before(std::size_t count) const;

    std::vector<engine_demand> slots_;
    std::size_t closed_slots_ = 0;
    std::vector<double> period_error_;
    std::vector<double> period_weight_;
    double variance_ = 0;
    double variance_weight_ = 0;
    engine_demand mean_demand_;
    std::size_t trusted_period_ = 0;

    bool has_started_ = false;
    time_point slot_end_;
    engine_demand slot_sum_;
    std::size_t slot_samples_ = 0;
};

} // namespace hibiscusferry

#endif
