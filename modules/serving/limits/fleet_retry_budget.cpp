#include "serving/limits/fleet_retry_budget.hpp"

#include <algorithm>

namespace hibiscusferry
{

namespace
{

/** Fraction of the allowed retries that is used; the rest covers clocks that
    differ and hosts that have just joined or left. */
constexpr double usable_fraction = 0.75;

} // namespace

fleet_retry_budget::fleet_retry_budget(const fleet_retry_settings& settings)
    : settings_(settings)
{
}

void fleet_retry_budget::set(const fleet_retry_settings& settings)
{
    settings_ = settings;
}

void fleet_retry_budget::count_request(time_point now)
{
    discard_expired(now);
    requests_.push_back(now);
}

bool fleet_retry_budget::try_spend(time_point now, std::size_t live_hosts)
{
    if (remaining(now, live_hosts) < 1)
        return false;
    retries_.push_back(now);
    return true;
}

void fleet_retry_budget::count_retry(time_point now)
{
    retries_.push_back(now);
}

double fleet_retry_budget::remaining(time_point now, std::size_t live_hosts)
{
    discard_expired(now);
    const double hosts =
        static_cast<double>(std::max<std::size_t>(live_hosts, 1));
    const double max_retries =
        usable_fraction *
        (settings_.ratio * static_cast<double>(requests_.size()) +
         settings_.slack / hosts);
    return max_retries - static_cast<double>(retries_.size());
}

void fleet_retry_budget::discard_expired(time_point now)
{
    const time_point window_start = now - settings_.window;
    while (!requests_.empty() && requests_.front() < window_start)
        requests_.pop_front();
    while (!retries_.empty() && retries_.front() < window_start)
        retries_.pop_front();
}

} // namespace hibiscusferry
