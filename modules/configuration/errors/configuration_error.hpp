#ifndef HIBISCUSFERRY_CONFIGURATION_ERRORS_CONFIGURATION_ERROR_HPP
#define HIBISCUSFERRY_CONFIGURATION_ERRORS_CONFIGURATION_ERROR_HPP

#include <system_error>

namespace hibiscusferry
{

/** Errors of the configuration module. */
enum class configuration_error
{
    bad_record = 1 ///< the value of a row is malformed
};

const std::error_category& configuration_error_category();
std::error_code make_error_code(configuration_error error);

} // namespace hibiscusferry

template <>
struct std::is_error_code_enum<hibiscusferry::configuration_error>
    : std::true_type
{
};

#endif
