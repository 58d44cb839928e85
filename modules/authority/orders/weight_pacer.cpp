#include "authority/orders/weight_pacer.hpp"

#include <algorithm>

namespace hibiscusferry
{

weight_pacer::weight_pacer(const weight_settings& settings, time_point now)
    : settings_(settings)
    , last_refill_(now)
{
}

bool weight_pacer::may_load(const std::string& argument, time_point now) const
{
    const auto entry = backoffs_.find(argument);
    if (entry != backoffs_.end() && now < entry->second.until)
        return false;
    return tokens_at(now) >= 1.0;
}

void weight_pacer::load_started(time_point now)
{
    tokens_ = tokens_at(now) - 1.0;
    last_refill_ = now;
}

void weight_pacer::load_failed(const std::string& argument, time_point now)
{
    backoff& entry = backoffs_[argument];
    entry.wait = entry.wait.count() == 0
                     ? settings_.initial_backoff
                     : std::min(entry.wait * 2, settings_.max_backoff);
    entry.until = now + entry.wait;

    // Discard entries that expired long ago to bound the size of the map.
    for (auto position = backoffs_.begin(); position != backoffs_.end();)
    {
        if (position->second.until + settings_.max_backoff < now)
            position = backoffs_.erase(position);
        else
            ++position;
    }
}

void weight_pacer::load_succeeded(const std::string& argument)
{
    backoffs_.erase(argument);
}

double weight_pacer::tokens_at(time_point now) const
{
    const double minutes =
        std::chrono::duration<double, std::ratio<60>>(now - last_refill_)
            .count();
    const double rate = settings_.fleet_loads_per_minute /
                        std::max<std::uint32_t>(settings_.services, 1);
    return std::min(settings_.burst, tokens_ + rate * minutes);
}

} // namespace hibiscusferry
