#ifndef HIBISCUSFERRY_SERVING_PLACING_SERVER_PLACER_HPP
#define HIBISCUSFERRY_SERVING_PLACING_SERVER_PLACER_HPP

#include "serving/placing/target_board.hpp"
#include <string>
#include <vector>

namespace hibiscusferry
{

/** What a plain request is placed by. */
struct server_request
{
    std::string availability_zone;
    std::size_t live_hosts = 1;
    /** Most connections this host may have open at one target. */
    std::size_t connection_allowance = 1;
    /** Ids of targets that are not to be used again. */
    std::vector<std::string> excluded;
};

/** Why a request found no place. */
enum class no_place
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
class server_placer
{
public:
    /** @returns the target, or null with the reason */
    static std::shared_ptr<target_view>
    place(const std::vector<std::shared_ptr<target_view>>& targets,
          const server_request& request, time_point now, no_place& reason);
};

} // namespace hibiscusferry

#endif
