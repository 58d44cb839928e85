#include "roles/estimate/mix_forecast.hpp"

#include <algorithm>
#include <cmath>

namespace hibiscusferry
{

namespace
{

/** A period is trusted once it explains this fraction of the variance. */
constexpr double min_fraction_to_trust = 0.7;
/** A trusted period is rejected once it explains less than this fraction. */
constexpr double min_fraction_to_keep_trust = 0.5;
/** The memory of a period's error, in periods, with a minimum in slots. Among
    many candidate periods, a mean over few slots is small for some of them by
    chance. */
constexpr double error_memory_periods = 2.0;
constexpr double min_error_memory_slots = 60.0;
/** The number of slots that must be observed before a period is trusted. */
constexpr std::size_t min_observed_slots = 60;
/** The number of slots over which the variance is averaged. */
constexpr double variance_memory_slots = 120.0;
/** The minimum variance for which predictions are made, in engines
    squared. */
constexpr double min_variance = 0.05;

double squared_difference(const engine_demand& left, const engine_demand& right)
{
    const double prefill = left.prefill - right.prefill;
    const double decode = left.decode - right.decode;
    return prefill * prefill + decode * decode;
}

} // namespace

mix_forecast::mix_forecast()
    : slots_(retained_slots)
    , period_error_(max_period_slots + 1, 0.0)
    , period_weight_(max_period_slots + 1, 0.0)
{
}

void mix_forecast::observe(const engine_demand& demand, time_point now)
{
    if (!has_started_)
    {
        has_started_ = true;
        slot_end_ = now + slot_duration;
    }
    while (now >= slot_end_)
    {
        close_slot();
        slot_end_ += slot_duration;
    }
    slot_sum_.prefill += demand.prefill;
    slot_sum_.decode += demand.decode;
    ++slot_samples_;
}

void mix_forecast::close_slot()
{
    engine_demand slot_demand =
        closed_slots_ > 0 ? slot_before(1) : engine_demand{};
    if (slot_samples_ > 0)
    {
        slot_demand.prefill =
            slot_sum_.prefill / static_cast<double>(slot_samples_);
        slot_demand.decode =
            slot_sum_.decode / static_cast<double>(slot_samples_);
    }
    slot_sum_ = {};
    slot_samples_ = 0;

    const double variance_decay = 1.0 - 1.0 / variance_memory_slots;
    variance_weight_ = variance_weight_ * variance_decay + 1.0;
    mean_demand_.prefill +=
        (slot_demand.prefill - mean_demand_.prefill) / variance_weight_;
    mean_demand_.decode +=
        (slot_demand.decode - mean_demand_.decode) / variance_weight_;
    variance_ = variance_ * variance_decay +
                squared_difference(slot_demand, mean_demand_);

    std::size_t best_period = 0;
    double best_explained_fraction = 0;
    const double variance = variance_ / variance_weight_;
    for (std::size_t period = min_period_slots;
         period <= max_period_slots && period <= closed_slots_; ++period)
    {
        const double memory_slots =
            std::max(min_error_memory_slots,
                     error_memory_periods * static_cast<double>(period));
        const double decay = 1.0 - 1.0 / memory_slots;
        period_weight_[period] = period_weight_[period] * decay + 1.0;
        period_error_[period] =
            period_error_[period] * decay +
            squared_difference(slot_demand, slot_before(period));
        if (closed_slots_ + 1 < std::max(min_observed_slots, 3 * period) ||
            variance < min_variance)
            continue;
        // For independent slots, the expected squared difference is twice the
        // variance.
        const double mean_error =
            period_error_[period] / period_weight_[period];
        const double explained_fraction = 1.0 - mean_error / (2.0 * variance);
        const double required_fraction = period == trusted_period_
                                             ? min_fraction_to_keep_trust
                                             : min_fraction_to_trust;
        // Multiples of a period explain the same fraction, so a longer period
        // is selected only if it explains clearly more.
        if (explained_fraction >= required_fraction &&
            explained_fraction > best_explained_fraction + 0.05)
        {
            best_period = period;
            best_explained_fraction = explained_fraction;
        }
    }
    trusted_period_ = best_period;

    slots_[closed_slots_ % retained_slots] = slot_demand;
    ++closed_slots_;
}

std::size_t mix_forecast::trusted_period() const
{
    return trusted_period_;
}

std::vector<engine_demand> mix_forecast::predict(std::chrono::nanoseconds ahead,
                                                 std::size_t count) const
{
    std::vector<engine_demand> predicted;
    if (trusted_period_ == 0)
        return predicted;

    const std::size_t skipped_slots =
        static_cast<std::size_t>(ahead / slot_duration);
    predicted.reserve(count);
    for (std::size_t slot_index = 0; slot_index < count; ++slot_index)
    {
        // The slot that follows the last complete one corresponds to the slot
        // one period before it.
        const std::size_t offset =
            (skipped_slots + slot_index) % trusted_period_;
        predicted.push_back(slot_before(trusted_period_ - offset));
    }
    return predicted;
}

const engine_demand& mix_forecast::slot_before(std::size_t count) const
{
    return slots_[(closed_slots_ - count) % retained_slots];
}

} // namespace hibiscusferry
