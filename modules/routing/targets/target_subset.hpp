#ifndef HIBISCUSFERRY_ROUTING_TARGETS_TARGET_SUBSET_HPP
#define HIBISCUSFERRY_ROUTING_TARGETS_TARGET_SUBSET_HPP

#include "routing/targets/target.hpp"
#include <cstdint>
#include <string>
#include <vector>

namespace hibiscusferry
{

/** Parameters for distributing a service's targets among the routers. */
struct subset_settings
{
    /** The number of targets of a service that a router uses. Routers use all
        targets of a service that has fewer than twice as many. */
    std::size_t targets_per_router = 256;
};

/** Selects the targets of one service that this router uses.

    The targets of each availability zone are assigned to cells of equal size by
    rendezvous hashing with bounded cell sizes, so that every target belongs to
    exactly one cell and few are reassigned when targets are added or removed.
    Routers are assigned to cells in the same way. All routers of a cell use the
    same targets, so that a prompt's prefix has the same owner at each of them.

    The result depends only on the arguments, so all routers with the same lists
    agree without communication.

    @param routers ids of all entry hosts in the platform's list
    @param own_id this router's host id, one of `routers`
    @param extra_cells the number of cells used in addition to the router's own;
        increased while its cell lacks a role
    @returns indexes into `targets`, ascending
*/
std::vector<std::size_t>
choose_target_subset(const std::vector<std::string>& routers,
                     const std::string& own_id,
                     const std::vector<target_address>& targets,
                     std::size_t extra_cells, const subset_settings& settings);

} // namespace hibiscusferry

#endif
