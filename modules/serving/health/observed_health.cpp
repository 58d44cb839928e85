#include "serving/health/observed_health.hpp"

#include <algorithm>
#include <array>

namespace hibiscusferry
{

namespace
{

/** The first period; a crashed target is back after seconds. */
constexpr std::chrono::milliseconds first_period{400};
constexpr unsigned most_doublings = 3;

/** A target that answered anybody within this time is not dead. */
constexpr std::chrono::milliseconds silence{400};

/** Weight of the newest exchange in the failure rate. */
constexpr double rate_weight = 0.08;

/** A target that fails more than this part of its exchanges is set aside.
    Application servers answer up to one request in seven with an error of
    the application's own. */
constexpr double tolerated_failure_rate = 0.5;

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
        last_answer_ = now;
        return;
    }
    if (outcome == exchange_outcome::answered)
    {
        periods_in_row_ = 0;
        set_aside_until_ = {};
        last_answer_ = now;
        failure_rate_ *= 1 - rate_weight;
        return;
    }
    failure_rate_ += rate_weight * (1 - failure_rate_);
    const bool is_without_word = outcome == exchange_outcome::unreachable ||
                                 outcome == exchange_outcome::silent;
    const bool is_dead = is_without_word && now - last_answer_ > silence;
    if (is_dead || failure_rate_ > tolerated_failure_rate)
        set_aside(now);
}

bool observed_health::is_usable(time_point now) const
{
    return now >= set_aside_until_;
}

bool observed_health::is_probing(time_point now) const
{
    return periods_in_row_ > 0 && is_usable(now);
}

bool observed_health::has_answered_lately(time_point now) const
{
    return now - last_answer_ <= silence;
}

double observed_health::failure_rate() const
{
    return failure_rate_;
}

void observed_health::set_aside(time_point now)
{
    // Exchanges that were already under way add nothing to the period.
    if (now < set_aside_until_)
        return;
    set_aside_until_ =
        now + first_period * (1U << std::min(periods_in_row_, most_doublings));
    ++periods_in_row_;
}

} // namespace hibiscusferry
