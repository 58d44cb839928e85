#ifndef HIBISCUSFERRY_ROLES_POLICY_POOL_CAPACITY_HPP
#define HIBISCUSFERRY_ROLES_POLICY_POOL_CAPACITY_HPP

#include "roles/model/role_split.hpp"
#include "roles/model/token_demand.hpp"

namespace hibiscusferry
{

/** The engine time lost per second, in engines, to requests that a split
    refuses or serves later than their latency objective, assuming that routing
    divides the capacity of the mixed engines optimally.

    With p, d and m engines of the three roles and mixed efficiency e, routing
    can assign any part of the capacity e m to either kind of work. Three
    shortfalls are possible, and the largest one determines the loss:
    - of prefill capacity, which causes long prompts to be refused and loses
      about as much as is missing;
    - of decode capacity, which causes requests of all kinds to be refused and
      loses the same fraction of all work;
    - of the combined capacity.

    Because responses miss their latency objective before an engine is fully
    utilised, the result is the mean over several assumptions about the maximum
    utilisation.

    @param mixed_efficiency  see engine_capacity::mixed_efficiency
*/
double loss_rate(const role_split& split, const engine_demand& demand,
                 double mixed_efficiency);

} // namespace hibiscusferry

#endif
