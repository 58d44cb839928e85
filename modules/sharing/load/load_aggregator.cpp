#include "sharing/load/load_aggregator.hpp"

namespace hibiscusferry
{

namespace
{

/** Replaces the entries of a map whose keys belong to a part. */
template <class Map>
void replace_part(Map& entries, const Map& new_entries, const load_part& part)
{
    for (auto entry = entries.begin(); entry != entries.end();)
    {
        if (entry->first % part.count == part.index)
            entry = entries.erase(entry);
        else
            ++entry;
    }
    for (const auto& [key, value] : new_entries)
        entries[key] = value;
}

} // namespace

load_aggregator::load_aggregator(std::chrono::milliseconds lifetime)
    : lifetime_(lifetime)
{
}

void load_aggregator::update_host(const std::string& host,
                                  const load_part& part, time_point now)
{
    apply_part(hosts_[host], part, now);
}

void load_aggregator::update_zone(const std::string& zone,
                                  const load_part& part, time_point now)
{
    apply_part(zones_[zone], part, now);
}

void load_aggregator::apply_part(reported_loads& entry, const load_part& part,
                                 time_point now)
{
    entry.received_at = now;
    entry.hosts = part.hosts;
    if (!part.observations.empty())
        entry.observations = part.observations;
    replace_part(entry.loads, part.loads, part);
    replace_part(entry.limits, part.limits, part);
}

void load_aggregator::add_entry(aggregated_loads& sum,
                                const reported_loads& entry, time_point now)
{
    sum.hosts += entry.hosts;
    add_loads(sum.loads, entry.loads);
    add_observations(sum.observations, entry.observations);
    add_reports(sum.limits, entry.limits,
                std::chrono::duration_cast<std::chrono::milliseconds>(
                    now - entry.received_at));
}

void load_aggregator::remove_expired(entry_map& entries, time_point now) const
{
    for (auto entry = entries.begin(); entry != entries.end();)
    {
        if (now - entry->second.received_at > lifetime_)
            entry = entries.erase(entry);
        else
            ++entry;
    }
}

aggregated_loads
load_aggregator::sum_of_hosts_except(const std::string& excluded_host,
                                     time_point now)
{
    remove_expired(hosts_, now);
    aggregated_loads sum;
    for (const auto& [host, entry] : hosts_)
    {
        if (host != excluded_host)
            add_entry(sum, entry, now);
    }
    return sum;
}

aggregated_loads load_aggregator::sum_of_zones(time_point now)
{
    remove_expired(zones_, now);
    aggregated_loads sum;
    for (const auto& [zone, entry] : zones_)
        add_entry(sum, entry, now);
    return sum;
}

bool load_aggregator::has_reported(const std::string& host, time_point now)
{
    remove_expired(hosts_, now);
    return hosts_.count(host) > 0;
}

} // namespace hibiscusferry
