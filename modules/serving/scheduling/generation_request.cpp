#include "serving/scheduling/generation_request.hpp"

#include <algorithm>

namespace hibiscusferry
{

double objective_ms(const generation_request& request, double fraction)
{
    return fraction * static_cast<double>(request.latency_objective.count());
}

bool is_eligible(const target_view& target, const generation_request& request,
                 time_point now)
{
    const bool is_permitted = target.is_available(now) &&
                              request.constraints.permits_version_of(target);
    if (!is_permitted)
        return false;
    if (target.health.is_probing(now) && target.requests.level() > 0)
        return false;
    if (target.requests.level() >=
        static_cast<double>(request.constraints.connection_allowance))
        return false;
    const std::vector<std::string>& excluded = request.constraints.excluded;
    return std::find(excluded.begin(), excluded.end(), target.record.id) ==
           excluded.end();
}

} // namespace hibiscusferry
