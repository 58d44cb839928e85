#ifndef HIBISCUSFERRY_ROUTING_TARGETS_TARGET_SUBSET_HPP
#define HIBISCUSFERRY_ROUTING_TARGETS_TARGET_SUBSET_HPP

#include "routing/targets/target.hpp"
#include <cstdint>
#include <string>
#include <vector>

namespace hibiscusferry
{

/** How a service's targets are divided among the routers. */
struct subset_settings
{
    /** Targets of a service that a router knows; a service of less than
        twice as many is known whole. */
    std::size_t targets_per_router = 256;
};

/** Chooses the targets of one service that this router uses.

    The targets of each availability zone are dealt to cells of equal size by
    rendezvous hashing with bounded places, so that every target is in exactly
    one cell and few move when targets come and go. Routers are dealt to the
    cells in the same way. All routers of a cell know the same targets, so
    that a prompt's prefix has the same home at each of them.

    A pure function of its arguments: all routers that see the same lists
    agree without a message.

    @param routers  ids of all entry hosts in the platform's list
    @param own_id  this router's host id, one of `routers`
    @param extra_cells  cells to use besides the router's own; raised while
                          its cell lacks a role
    @returns indexes into `targets`, ascending
*/
std::vector<std::size_t>
choose_target_subset(const std::vector<std::string>& routers,
                     const std::string& own_id,
                     const std::vector<target_address>& targets,
                     std::size_t extra_cells, const subset_settings& settings);

} // namespace hibiscusferry

#endif
