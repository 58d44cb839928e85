/** @file
    The roles module: assigns a role (prefill, decode or mixed) to each engine
    as the ratio of prompt tokens to generated tokens shifts.

    The token demand is estimated from the load reports of the routers
    (estimate). Role changes are decided with a rent-or-buy algorithm that
    counts ordered changes as effective until reports confirm them (policy).
    The module only makes decisions and performs no I/O. Depends on
    foundation and document.
*/
#ifndef HIBISCUSFERRY_ROLES_ROLES_HPP
#define HIBISCUSFERRY_ROLES_ROLES_HPP

#include "document/document.hpp"
#include "foundation/foundation.hpp"

// The headers of the module, by folder.
#include "roles/errors/roles_error.hpp"
#include "roles/estimate/mix_estimator.hpp"
#include "roles/estimate/mix_forecast.hpp"
#include "roles/model/engine_report.hpp"
#include "roles/model/engine_role.hpp"
#include "roles/model/role_change.hpp"
#include "roles/model/role_split.hpp"
#include "roles/model/router_load_report.hpp"
#include "roles/model/token_demand.hpp"
#include "roles/policy/change_expectations.hpp"
#include "roles/policy/pool_capacity.hpp"
#include "roles/policy/role_expert.hpp"
#include "roles/policy/role_expert_panel.hpp"
#include "roles/policy/role_policy.hpp"
#include "roles/policy/role_work_function.hpp"

#endif
