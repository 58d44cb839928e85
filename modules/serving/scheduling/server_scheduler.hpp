#ifndef HIBISCUSFERRY_SERVING_SCHEDULING_SERVER_SCHEDULER_HPP
#define HIBISCUSFERRY_SERVING_SCHEDULING_SERVER_SCHEDULER_HPP

#include "serving/scheduling/target_registry.hpp"
#include <string>
#include <vector>

namespace hibiscusferry
{

/** What a plain request is placed by. */
struct scheduling_constraints
{
    std::string availability_zone;
    std::size_t live_hosts = 1;
    /** Most connections this host may have open at one target. */
    std::size_t connection_allowance = 1;
    /** Ids of targets that are not to be used again. */
    std::vector<std::string> excluded;
};

/** Why a request found no place. */
enum class scheduling_failure
{
    no_target, ///< no target takes work
    busy       ///< all targets are full, or too late for the request
};

/** Chooses the application server for a request.

    Load it answers: a few servers of few slots, each asked by all hosts, tens
    of requests a second of some ten milliseconds. The server with the least
    expected work for each slot is taken, the own zone first while its servers
    have free slots: bytes between zones are charged.
*/
class server_scheduler
{
public:
    /** @returns the target, or null with the reason */
    static std::shared_ptr<target_view>
    schedule(const std::vector<std::shared_ptr<target_view>>& targets,
             const scheduling_constraints& request, time_point now,
             scheduling_failure& reason);
};

} // namespace hibiscusferry

#endif
