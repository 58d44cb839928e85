#include "sharing/streams/record_host_selector.hpp"

#include <algorithm>
#include <map>

namespace hibiscusferry
{

namespace
{

/** Number of zones among which the choices for a key take turns. */
constexpr std::size_t zones_per_turn = 3;

/** Orders hashed items by their rendezvous weight for a key, greatest first. */
struct greater_weight
{
    std::uint64_t key;

    template <class Item>
    bool operator()(const Item* first, const Item* second) const
    {
        return rendezvous_weight(key, first->hash) >
               rendezvous_weight(key, second->hash);
    }
};

} // namespace

void record_host_selector::set_candidates(
    const std::vector<candidate>& candidates)
{
    std::map<std::string, std::vector<hashed_host>> hosts_by_zone;
    for (const candidate& host : candidates)
        hosts_by_zone[host.availability_zone].push_back(
            {stable_hash(host.host), host.host});
    zones_.clear();
    for (auto& [zone, hosts] : hosts_by_zone)
        zones_.push_back({stable_hash(zone), std::move(hosts)});
}

std::vector<std::string>
record_host_selector::select(std::uint64_t key, std::size_t count,
                             const std::string& excluded) const
{
    std::vector<const zone_hosts*> ranked_zones;
    for (const zone_hosts& zone : zones_)
        ranked_zones.push_back(&zone);
    std::sort(ranked_zones.begin(), ranked_zones.end(), greater_weight{key});

    std::vector<std::string> selected;
    for (std::size_t first = 0;
         first < ranked_zones.size() && selected.size() < count;
         first += zones_per_turn)
    {
        const std::size_t last =
            std::min(first + zones_per_turn, ranked_zones.size());
        std::vector<std::vector<const hashed_host*>> choices;
        for (std::size_t zone = first; zone < last; ++zone)
            choices.push_back(
                first_choices(*ranked_zones[zone], key, count, excluded));
        for (std::size_t turn = 0; turn < count; ++turn)
        {
            for (const std::vector<const hashed_host*>& hosts : choices)
            {
                if (turn < hosts.size() && selected.size() < count)
                    selected.push_back(hosts[turn]->host);
            }
        }
    }
    return selected;
}

std::vector<const record_host_selector::hashed_host*>
record_host_selector::first_choices(const zone_hosts& zone, std::uint64_t key,
                                    std::size_t count,
                                    const std::string& excluded)
{
    std::vector<const hashed_host*> hosts;
    for (const hashed_host& host : zone.hosts)
    {
        if (host.host != excluded)
            hosts.push_back(&host);
    }
    const std::size_t kept = std::min(count, hosts.size());
    std::partial_sort(hosts.begin(),
                      hosts.begin() + static_cast<std::ptrdiff_t>(kept),
                      hosts.end(), greater_weight{key});
    hosts.resize(kept);
    return hosts;
}

} // namespace hibiscusferry
