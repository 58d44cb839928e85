#ifndef HIBISCUSFERRY_SERVING_SCHEDULING_SERVER_SCHEDULER_HPP
#define HIBISCUSFERRY_SERVING_SCHEDULING_SERVER_SCHEDULER_HPP

#include "serving/scheduling/target_registry.hpp"
#include <optional>
#include <string>
#include <vector>

namespace hibiscusferry
{

/** Constraints on the choice of a target for a request. */
struct scheduling_constraints
{
    std::string availability_zone;
    std::size_t live_hosts = 1;
    /** Maximum number of connections of this host to one target. */
    std::size_t connection_allowance = 1;
    /** Ids of targets that must not be tried again. */
    std::vector<std::string> excluded;
    /** The software version of all targets that take part in the request; none
        if any version may. A stream that has begun continues only at its own
        version. */
    std::optional<std::string> software_version;

    /** Returns whether a target has the required software version. */
    bool permits_version_of(const target_view& target) const;
};

/** The reason why no target was selected. */
enum class scheduling_failure
{
    no_target, ///< no target is available
    busy,      ///< every target is full or would respond too late
    limited    ///< the limits that the available targets state are used up
};

/** Selects the application server for a request.

    Designed for a few servers with few slots, each shared by all hosts, and
    tens of requests per second that take about ten milliseconds each. Selects
    the server with the lowest expected load per slot, where a slot of a slow
    server is worth less. Servers of the local
    availability zone are preferred while they have free slots, because
    cross-zone traffic is charged.
*/
class server_scheduler
{
public:
    /** @param reason  receives the reason if no target is selected
        @returns the target, or null */
    static std::shared_ptr<target_view>
    schedule(const std::vector<std::shared_ptr<target_view>>& targets,
             const scheduling_constraints& constraints, time_point now,
             scheduling_failure& reason);
};

} // namespace hibiscusferry

#endif
