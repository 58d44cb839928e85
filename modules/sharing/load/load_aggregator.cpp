#include "sharing/load/load_aggregator.hpp"

namespace hibiscusferry
{

load_aggregator::load_aggregator(std::chrono::milliseconds lifetime)
    : lifetime_(lifetime)
{
}

void load_aggregator::update_host(const std::string& host,
                                  const load_part& part, time_point now)
{
    take(hosts_[host], part, now);
}

void load_aggregator::update_zone(const std::string& zone,
                                  const load_part& part, time_point now)
{
    take(zones_[zone], part, now);
}

void load_aggregator::take(told_loads& known, const load_part& part,
                           time_point now)
{
    known.received_at = now;
    known.hosts = part.hosts;
    for (auto load = known.loads.begin(); load != known.loads.end();)
    {
        if (load->first % part.count == part.index)
            load = known.loads.erase(load);
        else
            ++load;
    }
    for (const auto& [key, load] : part.loads)
        known.loads[key] = load;
}

void load_aggregator::forget_old(entries& known, time_point now) const
{
    for (auto told = known.begin(); told != known.end();)
    {
        if (now - told->second.received_at > lifetime_)
            told = known.erase(told);
        else
            ++told;
    }
}

aggregated_loads
load_aggregator::sum_of_hosts_except(const std::string& but_for, time_point now)
{
    forget_old(hosts_, now);
    aggregated_loads sum;
    for (const auto& [host, known] : hosts_)
    {
        if (host == but_for)
            continue;
        sum.hosts += known.hosts;
        add_loads(sum.loads, known.loads);
    }
    return sum;
}

aggregated_loads load_aggregator::zones(time_point now)
{
    forget_old(zones_, now);
    aggregated_loads sum;
    for (const auto& [zone, known] : zones_)
    {
        sum.hosts += known.hosts;
        add_loads(sum.loads, known.loads);
    }
    return sum;
}

bool load_aggregator::knows_host(const std::string& host, time_point now)
{
    forget_old(hosts_, now);
    return hosts_.count(host) > 0;
}

} // namespace hibiscusferry
