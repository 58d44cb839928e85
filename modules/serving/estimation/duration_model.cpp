#include "serving/estimation/duration_model.hpp"

#include <algorithm>
#include <cmath>

namespace hibiscusferry
{

namespace
{

/** Exchanges that are needed before the estimate is used. */
constexpr double min_exchanges = 3;

/** An observed duration counts as at most this many times the typical one for
    its tokens. Queues that are not known can only prolong an exchange, so that
    longer ones are the less reliable. */
constexpr double max_excess_factor = 1.25;

/** An observed duration counts as at least this fraction of the expected one.
 */
constexpr double min_duration_fraction = 0.25;

/** Step by which the typical ratio of the observed to the expected duration
    follows the exchanges, and its bounds. */
constexpr double ratio_step_factor = 1.08;
constexpr double max_typical_ratio = 4;

/** Exchanges without tokens and duration that are assumed in advance. They keep
    the offset at zero until there is evidence for it. */
constexpr double assumed_exchanges = 1;

constexpr double min_duration_ms = 0.5;

double decay_factor(time_point since, time_point now)
{
    const std::chrono::duration<double> elapsed = now - since;
    return std::exp(-std::max(elapsed / duration_model::time_constant, 0.0));
}

linear_duration fit(const step_observations& sums)
{
    linear_duration duration;
    if (sums.exchanges < min_exchanges || sums.tokens_squared <= 0)
        return duration;
    // The mean weight of an exchange gives the assumed ones their weight.
    const double weight =
        sums.weight * (1 + assumed_exchanges / sums.exchanges);
    const double determinant =
        weight * sums.tokens_squared - sums.tokens * sums.tokens;
    constexpr double min_relative_determinant = 1e-6;
    const bool is_solvable =
        determinant > min_relative_determinant * weight * sums.tokens_squared;
    if (is_solvable)
    {
        duration.ms_per_token = (weight * sums.tokens_times_duration -
                                 sums.tokens * sums.duration_ms) /
                                determinant;
        duration.offset_ms = (sums.tokens_squared * sums.duration_ms -
                              sums.tokens * sums.tokens_times_duration) /
                             determinant;
    }
    const bool is_plausible =
        is_solvable && duration.ms_per_token >= 0 && duration.offset_ms >= 0;
    if (!is_plausible)
    {
        duration.offset_ms = 0;
        duration.ms_per_token =
            sums.tokens_times_duration / sums.tokens_squared;
        if (is_solvable && sums.tokens_times_duration * weight <
                               sums.tokens * sums.duration_ms)
        {
            duration.ms_per_token = 0;
            duration.offset_ms = sums.duration_ms / sums.weight;
        }
    }
    duration.is_known = true;
    return duration;
}

} // namespace

void duration_model::add(double tokens, double own_tokens,
                         std::chrono::duration<double, std::milli> duration,
                         double reliability, time_point now)
{
    const linear_duration expected = estimate(now);
    double duration_ms = std::max(duration.count(), min_duration_ms);
    double scale_ms = duration_ms;
    if (expected.is_known)
    {
        scale_ms = std::max(expected.milliseconds(tokens), min_duration_ms);
        const bool is_longer = duration_ms > scale_ms * typical_ratio_;
        typical_ratio_ =
            std::clamp(is_longer ? typical_ratio_ * ratio_step_factor
                                 : typical_ratio_ / ratio_step_factor,
                       1 / max_typical_ratio, max_typical_ratio);
        const double max_ms =
            scale_ms * std::max(typical_ratio_, 1.0) * max_excess_factor;
        duration_ms =
            std::clamp(duration_ms, scale_ms * min_duration_fraction, max_ms);
    }
    const double weight = reliability / (scale_ms * scale_ms);

    local_ = local(now);
    local_updated_at_ = now;
    local_.weight += weight;
    local_.tokens += weight * tokens;
    local_.duration_ms += weight * duration_ms;
    local_.tokens_squared += weight * tokens * tokens;
    local_.tokens_times_duration += weight * tokens * duration_ms;
    local_.exchanges += 1;
    local_.own_tokens += own_tokens;
    local_.own_duration_ms += duration.count();
}

void duration_model::set_remote(const step_observations& observations,
                                time_point now)
{
    remote_ = observations;
    remote_updated_at_ = now;
}

step_observations duration_model::local(time_point now) const
{
    return scaled(local_, decay_factor(local_updated_at_, now));
}

step_observations duration_model::total(time_point now) const
{
    step_observations sums = local(now);
    sums += scaled(remote_, decay_factor(remote_updated_at_, now));
    return sums;
}

linear_duration duration_model::estimate(time_point now) const
{
    return fit(total(now));
}

} // namespace hibiscusferry
