#ifndef HIBISCUSFERRY_HTTP_ERRORS_HTTP_ERROR_HPP
#define HIBISCUSFERRY_HTTP_ERRORS_HTTP_ERROR_HPP

#include <system_error>

namespace hibiscusferry
{

/** What an HTTP exchange can end with, besides an answer. */
enum class http_error
{
    connect_failed = 1, ///< no connection; certainly nothing was sent
    timed_out,          ///< the other side was silent for the time allowed
    broken,             ///< the connection was closed or reset
    bad_message,        ///< what arrived is not HTTP, or not as announced
    too_large,          ///< a header or body beyond the limit
    bad_address,        ///< not an IP number and port, or not free to listen
    not_open            ///< the exchange is already over
};

const std::error_category& http_error_category();
std::error_code make_error_code(http_error error);

} // namespace hibiscusferry

template <>
struct std::is_error_code_enum<hibiscusferry::http_error> : std::true_type
{
};

#endif
