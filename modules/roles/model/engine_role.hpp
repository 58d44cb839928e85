#ifndef HIBISCUSFERRY_ROLES_MODEL_ENGINE_ROLE_HPP
#define HIBISCUSFERRY_ROLES_MODEL_ENGINE_ROLE_HPP

#include "foundation/foundation.hpp"
#include <string_view>

namespace hibiscusferry
{

/** The kind of work that a language-model engine performs. */
enum class engine_role
{
    prefill, ///< prefill of prompts only
    decode,  ///< token generation only
    mixed    ///< both, at a lower rate than an engine of either single role
};

/** @returns "prefill", "decode" or "mixed", as used in the engine API */
std::string_view to_text(engine_role role);

/** Parses a role in the format of to_text().
    @returns the role, or roles_error::unknown_role */
result<engine_role> parse_engine_role(std::string_view text);

} // namespace hibiscusferry

#endif
