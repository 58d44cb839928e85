#include "serving/health/observed_health.hpp"

#include <algorithm>
#include <array>

namespace hibiscusferry
{

namespace
{

/** Duration of the first quarantine; a crashed target restarts within
    seconds. */
constexpr std::chrono::milliseconds initial_quarantine{400};
constexpr unsigned max_doublings = 3;

/** A target that responded to any request within this time is not considered
    unresponsive. */
constexpr std::chrono::milliseconds liveness_window{400};

constexpr double newest_exchange_weight = 0.08;

/** A target is quarantined when its failure rate exceeds this. Application
    servers respond to up to one request in seven with an error of the
    application itself, which must not quarantine them. */
constexpr double max_failure_rate = 0.5;

} // namespace

std::string_view to_text(exchange_outcome outcome)
{
    constexpr std::array<std::string_view, 6> names{
        "answered", "shed", "failed", "broken", "unreachable", "silent"};
    return names[static_cast<std::size_t>(outcome)];
}

void observed_health::record(exchange_outcome outcome, time_point now)
{
    if (outcome == exchange_outcome::shed)
    {
        last_response_at_ = now;
        return;
    }
    if (outcome == exchange_outcome::responded)
    {
        consecutive_quarantines_ = 0;
        quarantined_until_ = {};
        last_response_at_ = now;
        failure_rate_ *= 1 - newest_exchange_weight;
        return;
    }
    failure_rate_ += newest_exchange_weight * (1 - failure_rate_);
    const bool has_no_response = outcome == exchange_outcome::unreachable ||
                                 outcome == exchange_outcome::timed_out;
    const bool is_unresponsive =
        has_no_response && now - last_response_at_ > liveness_window;
    if (is_unresponsive || failure_rate_ > max_failure_rate)
        quarantine(now);
}

bool observed_health::is_usable(time_point now) const
{
    return now >= quarantined_until_;
}

bool observed_health::is_probing(time_point now) const
{
    return consecutive_quarantines_ > 0 && is_usable(now);
}

bool observed_health::has_responded_recently(time_point now) const
{
    return now - last_response_at_ <= liveness_window;
}

double observed_health::failure_rate() const
{
    return failure_rate_;
}

void observed_health::quarantine(time_point now)
{
    // Exchanges that were in flight when the quarantine began do not extend it.
    if (now < quarantined_until_)
        return;
    quarantined_until_ =
        now + initial_quarantine *
                  (1U << std::min(consecutive_quarantines_, max_doublings));
    ++consecutive_quarantines_;
}

} // namespace hibiscusferry
