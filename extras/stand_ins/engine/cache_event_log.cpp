#include "stand_ins/engine/cache_event_log.hpp"

namespace hibiscusferry::stand_ins
{

namespace
{

constexpr std::size_t max_retained_events = 10000;
constexpr std::size_t max_events_per_read = 1000;

} // namespace

cache_event_log::cache_event_log(std::chrono::milliseconds lag,
                                 unsigned loss_percent)
    : lag_(lag)
    , loss_percent_(loss_percent)
{
}

void cache_event_log::append(const std::vector<cache_change>& changes,
                             time_point now)
{
    for (const cache_change& change : changes)
    {
        ++last_sequence_;
        if (random_() % 100 < loss_percent_)
            continue;
        events_.push_back({last_sequence_, now, change});
    }
    while (events_.size() > max_retained_events)
        events_.pop_front();
}

std::vector<cache_event> cache_event_log::read(std::uint64_t after,
                                               time_point now) const
{
    std::vector<cache_event> published;
    for (const cache_event& item : events_)
    {
        if (item.since + lag_ > now || published.size() >= max_events_per_read)
            break;
        if (item.sequence > after)
            published.push_back(item);
    }
    return published;
}

} // namespace hibiscusferry::stand_ins
