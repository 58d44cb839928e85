#include "roles/model/engine_role.hpp"

#include "roles/errors/roles_error.hpp"

namespace hibiscusferry
{

std::string_view to_text(engine_role role)
{
    switch (role)
    {
    case engine_role::prefill:
        return "prefill";
    case engine_role::decode:
        return "decode";
    case engine_role::mixed:
        break;
    }
    return "mixed";
}

result<engine_role> parse_engine_role(std::string_view text)
{
    for (const engine_role role :
         {engine_role::prefill, engine_role::decode, engine_role::mixed})
    {
        if (to_text(role) == text)
            return role;
    }
    return make_error_code(roles_error::unknown_role);
}

} // namespace hibiscusferry
