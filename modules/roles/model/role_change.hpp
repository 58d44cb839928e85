#ifndef HIBISCUSFERRY_ROLES_MODEL_ROLE_CHANGE_HPP
#define HIBISCUSFERRY_ROLES_MODEL_ROLE_CHANGE_HPP

#include "roles/model/engine_role.hpp"
#include <string>
#include <string_view>

namespace hibiscusferry
{

/** Why the policy wants a change. */
enum class change_reason
{
    regret,           ///< not changing has cost as much as the change does
    forecast,         ///< a learned pattern says that the change will pay
    min_mixed_engines ///< fewer engines are mixed than the document asks for
};

/** "regret", "forecast" or "min_mixed_engines". */
std::string_view to_text(change_reason reason);

/** An action of the policy: this engine should change its role. The
    authority module carries it out, or reports that it failed. */
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
