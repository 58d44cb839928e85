#ifndef HIBISCUSFERRY_ROLES_MODEL_ROLE_CHANGE_HPP
#define HIBISCUSFERRY_ROLES_MODEL_ROLE_CHANGE_HPP

#include "roles/model/engine_role.hpp"
#include <string>
#include <string_view>

namespace hibiscusferry
{

/** The reason for which the policy requests a role change. */
enum class change_reason
{
    regret,           ///< staying has lost as much as the change costs
    forecast,         ///< the predicted demand makes the change worthwhile
    min_mixed_engines ///< fewer mixed engines than the document requires
};

/** @returns "regret", "forecast" or "min_mixed_engines" */
std::string_view to_text(change_reason reason);

/** A role change requested by the policy. The authority module orders it from
    the engine and reports its completion or failure. */
struct role_change
{
    std::string engine;
    std::string model;
    engine_role from = engine_role::mixed;
    engine_role to = engine_role::mixed;
    change_reason reason = change_reason::regret;
};

} // namespace hibiscusferry

#endif
