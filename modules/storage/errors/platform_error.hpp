#ifndef HIBISCUSFERRY_STORAGE_ERRORS_PLATFORM_ERROR_HPP
#define HIBISCUSFERRY_STORAGE_ERRORS_PLATFORM_ERROR_HPP

#include <system_error>

namespace hibiscusferry
{

/** Errors of a call to the platform. */
enum class platform_error
{
    /** Nothing was sent, so the call certainly had no effect. */
    not_sent = 1,
    /** The call was sent, but no response was received: a write may have taken
        effect, or may still take effect later. */
    outcome_unknown,
    /** The service refused the call without executing any part of it. */
    refused,
    /** The response is malformed. For a write, the outcome is as uncertain as
        with outcome_unknown. */
    bad_response,
    /** The requested row or object does not exist. */
    not_found,
    /** The requested changes are no longer retained. */
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
