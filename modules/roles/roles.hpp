/** @file
    The roles module: which role each engine plays as the token mix shifts.

    The demand is estimated from the routers' reports (estimate), a change of
    role is decided on as rent-or-buy, with own changes expected until they
    are seen (policy). Decisions only, no I/O. Depends on foundation and
    document.
*/
#ifndef HIBISCUSFERRY_ROLES_ROLES_HPP
#define HIBISCUSFERRY_ROLES_ROLES_HPP

#include "document/document.hpp"
#include "foundation/foundation.hpp"

// The parts, in order of dependence.
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
