#include "serving/scheduling/server_scheduler.hpp"

#include <algorithm>

namespace hibiscusferry
{

namespace
{

/** Penalty for servers of another availability zone, as load per slot: local
    servers are preferred until their load is this much higher. */
constexpr double cross_zone_load = 0.7;

/** Penalty for a server that fails all requests, as load per slot; scaled by
    its failure rate. */
constexpr double failure_penalty_load = 3.0;

bool is_excluded(const scheduling_constraints& constraints,
                 const std::string& id)
{
    return std::find(constraints.excluded.begin(), constraints.excluded.end(),
                     id) != constraints.excluded.end();
}

double effective_load(const target_view& target,
                      const scheduling_constraints& constraints, time_point now)
{
    const double slots = std::max(target.record.slots, 1U);
    double load =
        expected_load(target, constraints.live_hosts, now).requests / slots;
    // A slow target needs more of its slots' time for the load and for this
    // request.
    load += (target.slowness.expected(now) - 1) * (load + 1 / slots);
    if (target.record.availability_zone != constraints.availability_zone)
        load += cross_zone_load;
    return load + failure_penalty_load * target.health.failure_rate();
}

} // namespace

bool scheduling_constraints::permits_version_of(const target_view& target) const
{
    return !software_version ||
           target.record.software_version == *software_version;
}

std::shared_ptr<target_view> server_scheduler::schedule(
    const std::vector<std::shared_ptr<target_view>>& targets,
    const scheduling_constraints& constraints, time_point now,
    scheduling_failure& reason)
{
    std::shared_ptr<target_view> best;
    double best_load = 0;
    reason = scheduling_failure::no_target;
    for (const std::shared_ptr<target_view>& target : targets)
    {
        const bool is_selectable = target->is_available(now) &&
                                   constraints.permits_version_of(*target) &&
                                   !is_excluded(constraints, target->record.id);
        if (!is_selectable)
            continue;
        reason = scheduling_failure::busy;
        if (target->requests.level() >=
            static_cast<double>(constraints.connection_allowance))
            continue;
        if (target->health.is_probing(now) && target->requests.level() > 0)
            continue;
        const double load = effective_load(*target, constraints, now);
        if (best && load >= best_load)
            continue;
        best = target;
        best_load = load;
    }
    return best;
}

} // namespace hibiscusferry
