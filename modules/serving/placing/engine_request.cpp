#include "serving/placing/engine_request.hpp"

#include <algorithm>

namespace hibiscusferry
{

bool is_candidate(const target_view& target, const engine_request& request,
                  time_point now)
{
    if (!target.takes_work(now))
        return false;
    if (target.health.is_on_trial(now) && target.requests.level() > 0)
        return false;
    if (target.requests.level() >=
        static_cast<double>(request.common.connection_allowance))
        return false;
    const std::vector<std::string>& excluded = request.common.excluded;
    return std::find(excluded.begin(), excluded.end(), target.record.id) ==
           excluded.end();
}

} // namespace hibiscusferry
