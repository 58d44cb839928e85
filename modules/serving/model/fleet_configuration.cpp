#include "serving/model/fleet_configuration.hpp"

#include <array>
#include <string_view>

namespace hibiscusferry
{

std::string_view to_text(request_kind kind)
{
    constexpr std::array<std::string_view, 3> names{
        "idempotent", "non_idempotent", "streaming"};
    return names[static_cast<std::size_t>(kind)];
}

bool route::is_safe_to_retry() const
{
    return kind == request_kind::idempotent ||
           (kind == request_kind::streaming && is_resumable);
}

const service_properties*
fleet_configuration::service(const std::string& name) const
{
    for (const service_properties& candidate : services)
    {
        if (candidate.name == name)
            return &candidate;
    }
    return nullptr;
}

std::optional<std::chrono::milliseconds>
fleet_configuration::strictest_latency_objective() const
{
    std::optional<std::chrono::milliseconds> strictest;
    for (const std::shared_ptr<const route>& candidate : routes)
    {
        const bool has_objective = candidate->latency_objective.count() > 0;
        if (has_objective &&
            (!strictest || candidate->latency_objective < *strictest))
            strictest = candidate->latency_objective;
    }
    return strictest;
}

} // namespace hibiscusferry
