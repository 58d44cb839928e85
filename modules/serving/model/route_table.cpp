#include "serving/model/route_table.hpp"

#include "foundation/foundation.hpp"
#include <algorithm>
#include <cctype>

namespace hibiscusferry
{

namespace
{

std::string normal_host(std::string_view host)
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
        by_host_[normal_host(entry.host)].push_back(&entry);
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
    const auto found = by_host_.find(normal_host(host));
    if (found == by_host_.end())
        return nullptr;
    for (const route* candidate : found->second)
    {
        if (path.substr(0, candidate->prefix.size()) == candidate->prefix)
            return candidate;
    }
    return nullptr;
}

const std::string& route_table::select_service(const route& found,
                                               std::string_view request_id)
{
    double total = 0;
    for (const weighted_service& part : found.services)
        total += part.weight;
    constexpr std::uint64_t draw_steps = 1U << 20;
    double draw = total *
                  static_cast<double>(stable_hash(request_id) % draw_steps) /
                  static_cast<double>(draw_steps);
    for (const weighted_service& part : found.services)
    {
        draw -= part.weight;
        if (draw < 0)
            return part.service;
    }
    return found.services.back().service;
}

} // namespace hibiscusferry
