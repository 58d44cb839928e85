#ifndef HIBISCUSFERRY_ROLES_ERRORS_ROLES_ERROR_HPP
#define HIBISCUSFERRY_ROLES_ERRORS_ROLES_ERROR_HPP

#include <system_error>

namespace hibiscusferry
{

/** Error codes of the roles module. */
enum class roles_error
{
    unknown_role = 1, ///< the text is not the name of an engine role
    invalid_settings  ///< a rate, weight or duration is out of range
};

const std::error_category& roles_error_category();
std::error_code make_error_code(roles_error error);

} // namespace hibiscusferry

template <>
struct std::is_error_code_enum<hibiscusferry::roles_error> : std::true_type
{
};

#endif
