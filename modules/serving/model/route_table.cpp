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

} // namespace

route_table::route_table(fleet_configuration configuration)
    : configuration_(std::move(configuration))
{
    for (const route& entry : configuration_.routes)
        by_host_[normalized_host(entry.host)].push_back(&entry);
    for (auto& [host, routes] : by_host_)
        std::stable_sort(routes.begin(), routes.end(),
                         [](const route* left, const route* right) {
                             return left->prefix.size() > right->prefix.size();
                         });
}

const fleet_configuration& route_table::configuration() const
{
    return configuration_;
}

const route* route_table::find(std::string_view host,
                               std::string_view path) const
{
    const auto host_routes = by_host_.find(normalized_host(host));
    if (host_routes == by_host_.end())
        return nullptr;
    for (const route* candidate : host_routes->second)
    {
        if (path.substr(0, candidate->prefix.size()) == candidate->prefix)
            return candidate;
    }
    return nullptr;
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
