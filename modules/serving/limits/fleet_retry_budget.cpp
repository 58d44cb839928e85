#include "serving/limits/fleet_retry_budget.hpp"

#include <algorithm>

namespace hibiscusferry
{

namespace
{

/** Part of the allowed sends that is used; the rest covers clocks that differ
    and hosts that have just joined or left. */
constexpr double used_part = 0.75;

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
    forget_old(now);
    requests_.push_back(now);
}

bool fleet_retry_budget::try_spend(time_point now, std::size_t live_hosts)
{
    if (left(now, live_hosts) < 1)
        return false;
    sends_.push_back(now);
    return true;
}

void fleet_retry_budget::count_retry(time_point now)
{
    sends_.push_back(now);
}

double fleet_retry_budget::left(time_point now, std::size_t live_hosts)
{
    forget_old(now);
    const double hosts =
        static_cast<double>(std::max<std::size_t>(live_hosts, 1));
    const double allowed =
        used_part * (settings_.ratio * static_cast<double>(requests_.size()) +
                     settings_.slack / hosts);
    return allowed - static_cast<double>(sends_.size());
}

void fleet_retry_budget::forget_old(time_point now)
{
    const time_point oldest = now - settings_.window;
    while (!requests_.empty() && requests_.front() < oldest)
        requests_.pop_front();
    while (!sends_.empty() && sends_.front() < oldest)
        sends_.pop_front();
}

} // namespace hibiscusferry
