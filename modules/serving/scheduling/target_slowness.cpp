#include "serving/scheduling/target_slowness.hpp"

#include <algorithm>
#include <cmath>

namespace hibiscusferry
{

namespace
{

/** Number of readings over which means and correlations are taken, so that they
    follow a lasting change. */
constexpr double max_mean_readings = 64;
constexpr double max_pairs_per_interval = 256;

/** Weight of the mean of the service in the mean of a target, in independent
    readings. The first reading of a target may be of an unusual moment. */
constexpr double service_weight = 1;

/** The time constants that are compared, from 1 ms in steps of a factor. */
constexpr double time_constant_step = 1.25;
constexpr int time_constant_count = 60;

using seconds_as_double = std::chrono::duration<double>;

void add_to_mean(double& mean, double& total_weight, double value,
                 double weight)
{
    if (weight <= 0)
        return;
    total_weight = std::min(total_weight + weight, max_mean_readings);
    mean += (value - mean) * weight / total_weight;
}

} // namespace

// ========================================================================
// slowness_variation

void slowness_variation::add_pair(double earlier, double later,
                                  std::chrono::nanoseconds interval)
{
    const double milliseconds =
        std::chrono::duration<double, std::milli>(interval).count();
    const std::size_t index = static_cast<std::size_t>(
        std::clamp(std::floor(std::log2(std::max(milliseconds, 1.0))), 0.0,
                   static_cast<double>(intervals_.size() - 1)));
    interval_sums& sums = intervals_[index];
    constexpr double kept_fraction = 1 - 1 / max_pairs_per_interval;
    const double square = (earlier * earlier + later * later) / 2;
    sums.products = kept_fraction * sums.products + earlier * later;
    sums.squares = kept_fraction * sums.squares + square;
    sums.weighted_intervals = kept_fraction * sums.weighted_intervals +
                              square * seconds_as_double(interval).count();
    if (square > 0)
        fit();
}

void slowness_variation::fit()
{
    double least_error = 0;
    seconds_as_double candidate = std::chrono::milliseconds(1);
    for (int step = 0; step < time_constant_count; ++step)
    {
        double error = 0;
        for (const interval_sums& sums : intervals_)
        {
            if (sums.squares <= 0)
                continue;
            const double correlation = sums.products / sums.squares;
            const double interval = sums.weighted_intervals / sums.squares;
            const double difference =
                correlation - std::exp(-interval / candidate.count());
            error += sums.squares * difference * difference;
        }
        if (step == 0 || error < least_error)
        {
            least_error = error;
            time_constant_ = candidate;
        }
        candidate *= time_constant_step;
    }
}

void slowness_variation::add_reading(double slowness, double weight)
{
    add_to_mean(mean_, weight_, slowness, weight);
}

std::optional<double> slowness_variation::mean() const
{
    return weight_ > 0 ? std::optional<double>(mean_) : std::nullopt;
}

double slowness_variation::remaining_part(std::chrono::nanoseconds age) const
{
    if (time_constant_.count() <= 0)
        return 0;
    return std::exp(-std::max(seconds_as_double(age) / time_constant_, 0.0));
}

seconds_as_double slowness_variation::time_constant() const
{
    return time_constant_;
}

// ========================================================================
// target_slowness

target_slowness::target_slowness(std::shared_ptr<slowness_variation> variation)
    : variation_(std::move(variation))
{
}

void target_slowness::add(double reading, time_point now)
{
    double weight = 1;
    if (is_known())
    {
        const std::chrono::nanoseconds interval = now - last_reading_at_;
        variation_->add_pair(last_reading_ - mean(), reading - mean(),
                             interval);
        weight = 1 - variation_->remaining_part(interval);
    }
    variation_->add_reading(reading, weight);
    add_to_mean(mean_, weight_, reading, weight);
    last_reading_ = reading;
    last_reading_at_ = now;
}

bool target_slowness::is_known() const
{
    return weight_ > 0;
}

double target_slowness::mean() const
{
    return (weight_ * mean_ +
            service_weight * variation_->mean().value_or(mean_)) /
           (weight_ + service_weight);
}

double target_slowness::expected(time_point now) const
{
    if (!is_known())
        return 1;
    return mean() + (last_reading_ - mean()) *
                        variation_->remaining_part(now - last_reading_at_);
}

} // namespace hibiscusferry
