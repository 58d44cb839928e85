#include "serving/scheduling/server_scheduler.hpp"

#include <algorithm>

namespace hibiscusferry
{

namespace
{

/** What another zone adds, in parts of a server's slots: servers of the own
    zone are preferred until they are this much busier. */
constexpr double other_zone_load = 0.7;

/** Failures of a server weigh as much as this load when all fail. */
constexpr double failure_load = 3.0;

bool is_excluded(const scheduling_constraints& request, const std::string& id)
{
    return std::find(request.excluded.begin(), request.excluded.end(), id) !=
           request.excluded.end();
}

double load_of(const target_view& target, const scheduling_constraints& request,
               time_point now)
{
    const double slots = std::max(target.record.slots, 1U);
    double load =
        expected_load(target, request.live_hosts, now).requests / slots;
    if (target.record.availability_zone != request.availability_zone)
        load += other_zone_load;
    return load + failure_load * target.health.failure_rate();
}

} // namespace

std::shared_ptr<target_view> server_scheduler::schedule(
    const std::vector<std::shared_ptr<target_view>>& targets,
    const scheduling_constraints& request, time_point now,
    scheduling_failure& reason)
{
    std::shared_ptr<target_view> best;
    double best_load = 0;
    reason = scheduling_failure::no_target;
    for (const std::shared_ptr<target_view>& target : targets)
    {
        const bool is_candidate = target->is_available(now) &&
                                  !is_excluded(request, target->record.id);
        if (!is_candidate)
            continue;
        reason = scheduling_failure::busy;
        if (target->requests.level() >=
            static_cast<double>(request.connection_allowance))
            continue;
        if (target->health.is_probing(now) && target->requests.level() > 0)
            continue;
        const double load = load_of(*target, request, now);
        if (best && load >= best_load)
            continue;
        best = target;
        best_load = load;
    }
    return best;
}

} // namespace hibiscusferry
