#ifndef HIBISCUSFERRY_STORAGE_ERRORS_PLATFORM_ERROR_HPP
#define HIBISCUSFERRY_STORAGE_ERRORS_PLATFORM_ERROR_HPP

#include <system_error>

namespace hibiscusferry
{

/** What a call to the platform can end with, besides an answer. */
enum class platform_error
{
    /** Nothing was sent; the call certainly had no effect. */
    not_sent = 1,
    /** The call was sent and no answer came: a write may have taken effect,
        and may still take effect later. */
    outcome_unknown,
    /** The service refused the call before doing anything with it. */
    refused,
    /** The answer could not be read. For a write, as outcome_unknown. */
    bad_response,
    /** The row or object asked for does not exist. */
    not_found,
    /** The changes asked for are no longer kept. */
    history_expired
};

const std::error_category& platform_error_category();
std::error_code make_error_code(platform_error error);

} // namespace hibiscusferry

template <>
struct std::is_error_code_enum<hibiscusferry::platform_error> : std::true_type
{
};

#endif
