#include "serving/model/route_table.hpp"

#include "foundation/foundation.hpp"
#include <algorithm>
#include <cctype>

namespace hibiscusferry
{

namespace
{

std::string normalized_host(std::string_view host)
{
    const std::size_t colon = host.find(':');
    std::string name(host.substr(0, colon));
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char letter)
                   { return static_cast<char>(std::tolower(letter)); });
    return name;
}

/** Changed routes in a row after which equal ones are found again. */
constexpr std::ptrdiff_t max_distance = 64;

/** The routes in which two lists differ. */
struct route_changes
{
    std::vector<const route*> removed;
    std::vector<const route*> added;
};

/** Compares two lists of routes, most of which are the same and in the same
    order. Routes that have moved may count as removed and added. */
route_changes compare(const route_list& former, const route_list& current)
{
    const auto find_near = [](route_list::const_iterator begin,
                              route_list::const_iterator end,
                              const std::shared_ptr<const route>& searched)
    {
        const auto limit = begin + std::min(max_distance, end - begin);
        const auto found = std::find(begin, limit, searched);
        return found == limit ? end : found;
    };
    route_changes changes;
    auto left = former.begin();
    auto right = current.begin();
    while (left != former.end() && right != current.end())
    {
        if (*left == *right)
        {
            ++left;
            ++right;
            continue;
        }
        const auto next_left = find_near(left, former.end(), *right);
        const auto next_right = find_near(right, current.end(), *left);
        if (next_left != former.end())
        {
            for (; left != next_left; ++left)
                changes.removed.push_back(left->get());
        }
        else if (next_right != current.end())
        {
            for (; right != next_right; ++right)
                changes.added.push_back(right->get());
        }
        else
        {
            changes.removed.push_back((left++)->get());
            changes.added.push_back((right++)->get());
        }
    }
    for (; left != former.end(); ++left)
        changes.removed.push_back(left->get());
    for (; right != current.end(); ++right)
        changes.added.push_back(right->get());
    return changes;
}

} // namespace

route_table::route_table(fleet_configuration configuration,
                         const route_table* former)
    : configuration_(std::move(configuration))
{
    std::optional<host_index> changed;
    if (former != nullptr)
        changed = changed_index(*former);
    by_host_ = changed ? std::move(*changed) : make_index();
}

route_table::host_index route_table::make_index() const
{
    std::unordered_map<std::string, std::vector<const route*>> routes_by_host;
    for (const std::shared_ptr<const route>& entry : configuration_.routes)
        routes_by_host[normalized_host(entry->host)].push_back(entry.get());
    host_index index;
    for (const auto& [host, routes] : routes_by_host)
        index.emplace(host, std::make_shared<const prefix_index>(routes));
    return index;
}

std::optional<route_table::host_index>
route_table::changed_index(const route_table& former) const
{
    const route_changes changes =
        compare(former.configuration_.routes, configuration_.routes);
    const std::size_t changed_routes =
        changes.removed.size() + changes.added.size();
    if (changed_routes > configuration_.routes.size() / 2)
        return std::nullopt;
    std::unordered_map<std::string, route_changes> changes_by_host;
    for (const route* const removed : changes.removed)
        changes_by_host[normalized_host(removed->host)].removed.push_back(
            removed);
    for (const route* const added : changes.added)
        changes_by_host[normalized_host(added->host)].added.push_back(added);
    host_index index = former.by_host_;
    for (auto& [host, host_changes] : changes_by_host)
    {
        std::shared_ptr<const prefix_index>& routes = index[host];
        std::optional<prefix_index> changed =
            (routes ? *routes : prefix_index())
                .changed(host_changes.removed, std::move(host_changes.added));
        if (!changed)
            return std::nullopt;
        if (changed->is_empty())
            index.erase(host);
        else
            routes = std::make_shared<const prefix_index>(std::move(*changed));
    }
    return index;
}

const fleet_configuration& route_table::configuration() const
{
    return configuration_;
}

const route* route_table::find(std::string_view host,
                               std::string_view path) const
{
    const auto host_routes = by_host_.find(normalized_host(host));
    return host_routes == by_host_.end() ? nullptr
                                         : host_routes->second->find(path);
}

const std::string& route_table::select_service(const route& route_entry,
                                               std::string_view request_id)
{
    double total = 0;
    for (const weighted_service& candidate_service : route_entry.services)
        total += candidate_service.weight;
    constexpr std::uint64_t hash_steps = 1U << 20;
    double remaining_weight =
        total * static_cast<double>(stable_hash(request_id) % hash_steps) /
        static_cast<double>(hash_steps);
    for (const weighted_service& candidate_service : route_entry.services)
    {
        remaining_weight -= candidate_service.weight;
        if (remaining_weight < 0)
            return candidate_service.service;
    }
    return route_entry.services.back().service;
}

} // namespace hibiscusferry
