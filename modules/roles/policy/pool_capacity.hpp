#ifndef HIBISCUSFERRY_ROLES_POLICY_POOL_CAPACITY_HPP
#define HIBISCUSFERRY_ROLES_POLICY_POOL_CAPACITY_HPP

#include "roles/model/role_split.hpp"
#include "roles/model/token_demand.hpp"

namespace hibiscusferry
{

/** The engine time lost per second to requests that a split serves late or
    not at all, in engines, when routing shares the mixed engines out well.

    With p, d and m engines of each role and efficiency e, routing can give
    any part of e m to either kind of work. Three shortages can arise, and the
    greatest counts: of prefill, which turns away long prompts and so loses
    about what is short; of decode, which turns away any request that comes
    and so loses the same part of all work; and of both together. As answers
    are late before an engine is wholly busy, it is the mean over several
    assumptions of how much of an engine's time is usable.
*/
double loss_rate(const role_split& split, const engine_demand& demand,
                 double mixed_efficiency);

} // namespace hibiscusferry

#endif
