#ifndef HIBISCUSFERRY_CLAIMS_ERRORS_CLAIMS_ERROR_HPP
#define HIBISCUSFERRY_CLAIMS_ERRORS_CLAIMS_ERROR_HPP

#include <system_error>

namespace hibiscusferry
{

/** Errors of the claims module. */
enum class claims_error
{
    bad_record = 1 ///< the value of a claim's row is malformed
};

const std::error_category& claims_error_category();
std::error_code make_error_code(claims_error error);

} // namespace hibiscusferry

template <>
struct std::is_error_code_enum<hibiscusferry::claims_error> : std::true_type
{
};

#endif
