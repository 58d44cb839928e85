#include "authority/orders/weight_pacer.hpp"

#include <algorithm>

namespace hibiscusferry
{

weight_pacer::weight_pacer(const weight_settings& settings, time_point now)
    : settings_(settings)
    , filled_(now)
{
}

bool weight_pacer::may_load(const std::string& argument, time_point now) const
{
    const auto failed = backoffs_.find(argument);
    if (failed != backoffs_.end() && now < failed->second.until)
        return false;
    return tokens_at(now) >= 1.0;
}

void weight_pacer::load_started(time_point now)
{
    tokens_ = tokens_at(now) - 1.0;
    filled_ = now;
}

void weight_pacer::load_failed(const std::string& argument, time_point now)
{
    backoff& entry = backoffs_[argument];
    entry.wait = entry.wait.count() == 0
                     ? settings_.initial_backoff
                     : std::min(entry.wait * 2, settings_.max_backoff);
    entry.until = now + entry.wait;

    // Forget failures long over, so that the map stays small.
    for (auto entry_at = backoffs_.begin(); entry_at != backoffs_.end();)
    {
        if (entry_at->second.until + settings_.max_backoff < now)
            entry_at = backoffs_.erase(entry_at);
        else
            ++entry_at;
    }
}

void weight_pacer::load_succeeded(const std::string& argument)
{
    backoffs_.erase(argument);
}

double weight_pacer::tokens_at(time_point now) const
{
    const double minutes =
        std::chrono::duration<double, std::ratio<60>>(now - filled_).count();
    const double rate = settings_.fleet_loads_per_minute /
                        std::max<std::uint32_t>(settings_.services, 1);
    return std::min(settings_.burst, tokens_ + rate * minutes);
}

} // namespace hibiscusferry
