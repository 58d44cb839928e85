#ifndef HIBISCUSFERRY_ROLES_ERRORS_ROLES_ERROR_HPP
#define HIBISCUSFERRY_ROLES_ERRORS_ROLES_ERROR_HPP

#include <system_error>

namespace hibiscusferry
{

/** Errors of the roles module. */
enum class roles_error
{
    unknown_role = 1, ///< the text names no engine role
    invalid_settings  ///< a rate, weight or duration is out of its range
};

const std::error_category& roles_error_category();
std::error_code make_error_code(roles_error error);

} // namespace hibiscusferry

template <>
struct std::is_error_code_enum<hibiscusferry::roles_error> : std::true_type
{
};

#endif
