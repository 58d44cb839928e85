#ifndef HIBISCUSFERRY_ROLES_POLICY_POOL_CAPACITY_HPP
#define HIBISCUSFERRY_ROLES_POLICY_POOL_CAPACITY_HPP

#include "roles/model/role_split.hpp"
#include "roles/model/token_demand.hpp"

namespace hibiscusferry
{

/** The part of the requests, from 0 to 1, that a split can serve when
    routing shares the mixed engines out in the best way.

    A request needs its prefill and its decode. With p, d and m engines of
    each role and efficiency e, routing can give any part of e m to either
    kind, so that the served part is the least of 1, (p + e m) / prefill,
    (d + e m) / decode and (p + d + e m) / (prefill + decode).
    @param utilisation  the part of an engine's time that is counted on
*/
double served_part(const role_split& split, const engine_demand& demand,
                   double mixed_efficiency, double utilisation);

/** The engine time lost per second to requests that a split serves late or
    not at all, in engines. As queues grow before an engine is wholly busy,
    it is the mean over several usable utilisations. */
double loss_rate(const role_split& split, const engine_demand& demand,
                 double mixed_efficiency);

} // namespace hibiscusferry

#endif
