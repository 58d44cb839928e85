#include "roles/estimate/mix_forecast.hpp"

#include <algorithm>
#include <cmath>

namespace hibiscusferry
{

namespace
{

/** The least part of the variance that a trusted period explains. */
constexpr double trust_from = 0.7;
/** A trusted period is dropped below this. */
constexpr double distrust_below = 0.5;
/** How long a period's error is remembered: in periods, and at least in
    slots, as a mean over few slots is small by chance for some period. */
constexpr double memory_periods = 2.0;
constexpr double least_memory_slots = 60.0;
/** Slots that must have been seen before any period is trusted. */
constexpr std::size_t least_seen_slots = 60;
/** Slots over which the variance is averaged. */
constexpr double variance_memory_slots = 120.0;
/** The least variance worth foretelling, in engines squared. */
constexpr double least_variance = 0.05;

double squared_difference(const engine_demand& left, const engine_demand& right)
{
    const double prefill = left.prefill - right.prefill;
    const double decode = left.decode - right.decode;
    return prefill * prefill + decode * decode;
}

} // namespace

mix_forecast::mix_forecast()
    : slots_(kept_slots)
    , period_error_(greatest_period_slots + 1, 0.0)
    , period_weight_(greatest_period_slots + 1, 0.0)
{
}

void mix_forecast::observe(const engine_demand& demand, time_point now)
{
    if (!started_)
    {
        started_ = true;
        slot_end_ = now + slot;
    }
    while (now >= slot_end_)
    {
        close_slot();
        slot_end_ += slot;
    }
    sum_.prefill += demand.prefill;
    sum_.decode += demand.decode;
    ++samples_;
}

void mix_forecast::close_slot()
{
    engine_demand closed = closed_ > 0 ? slots_ago(1) : engine_demand{};
    if (samples_ > 0)
    {
        closed.prefill = sum_.prefill / static_cast<double>(samples_);
        closed.decode = sum_.decode / static_cast<double>(samples_);
    }
    sum_ = {};
    samples_ = 0;

    const double variance_decay = 1.0 - 1.0 / variance_memory_slots;
    variance_weight_ = variance_weight_ * variance_decay + 1.0;
    mean_.prefill += (closed.prefill - mean_.prefill) / variance_weight_;
    mean_.decode += (closed.decode - mean_.decode) / variance_weight_;
    variance_ = variance_ * variance_decay + squared_difference(closed, mean_);

    std::size_t best = 0;
    double best_explained = 0;
    const double variance = variance_ / variance_weight_;
    for (std::size_t period = least_period_slots;
         period <= greatest_period_slots && period <= closed_; ++period)
    {
        const double memory = std::max(
            least_memory_slots, memory_periods * static_cast<double>(period));
        const double decay = 1.0 - 1.0 / memory;
        period_weight_[period] = period_weight_[period] * decay + 1.0;
        period_error_[period] = period_error_[period] * decay +
                                squared_difference(closed, slots_ago(period));
        if (closed_ + 1 < std::max(least_seen_slots, 3 * period) ||
            variance < least_variance)
            continue;
        // For independent slots the error is twice the variance.
        const double error = period_error_[period] / period_weight_[period];
        const double explained = 1.0 - error / (2.0 * variance);
        const double needed = period == trusted_ ? distrust_below : trust_from;
        // A multiple of a period explains as much: prefer the shorter.
        if (explained >= needed && explained > best_explained + 0.05)
        {
            best = period;
            best_explained = explained;
        }
    }
    trusted_ = best;

    slots_[closed_ % kept_slots] = closed;
    ++closed_;
}

std::size_t mix_forecast::trusted_period() const
{
    return trusted_;
}

std::vector<engine_demand> mix_forecast::coming(std::chrono::nanoseconds ahead,
                                                std::size_t count) const
{
    std::vector<engine_demand> foretold;
    if (trusted_ == 0)
        return foretold;

    const std::size_t skipped = static_cast<std::size_t>(ahead / slot);
    foretold.reserve(count);
    for (std::size_t slot_index = 0; slot_index < count; ++slot_index)
    {
        // The slot after the newest is one period less one slot ago.
        const std::size_t offset = (skipped + slot_index) % trusted_;
        foretold.push_back(slots_ago(trusted_ - offset));
    }
    return foretold;
}

const engine_demand& mix_forecast::slots_ago(std::size_t count) const
{
    return slots_[(closed_ - count) % kept_slots];
}

} // namespace hibiscusferry
