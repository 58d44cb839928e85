#ifndef HIBISCUSFERRY_ROLES_MODEL_ENGINE_ROLE_HPP
#define HIBISCUSFERRY_ROLES_MODEL_ENGINE_ROLE_HPP

#include "foundation/foundation.hpp"
#include <string_view>

namespace hibiscusferry
{

/** Which work a model engine takes. */
enum class engine_role
{
    prefill, ///< prompts only
    decode,  ///< token generation only
    mixed    ///< both, at a lower rate than an engine of either role
};

/** "prefill", "decode" or "mixed", as in the engines' API. */
std::string_view to_text(engine_role role);

/** Reads what to_text() wrote.
    @returns the role, or roles_error::unknown_role */
result<engine_role> parse_engine_role(std::string_view text);

} // namespace hibiscusferry

#endif
