#ifndef HIBISCUSFERRY_HTTP_ERRORS_HTTP_ERROR_HPP
#define HIBISCUSFERRY_HTTP_ERRORS_HTTP_ERROR_HPP

#include <string_view>
#include <system_error>

namespace hibiscusferry
{

/** Reasons why an HTTP exchange fails. */
enum class http_error
{
    connect_failed = 1, ///< no connection was established; nothing was sent
    timed_out,          ///< the peer did not respond within the timeout
    broken,             ///< the connection was closed or reset
    bad_message,        ///< the received bytes are not a valid HTTP message
    too_large,          ///< the header or body exceeds its size limit
    bad_address,        ///< not an IP address, or not available to listen on
    not_open,           ///< no exchange is in progress
    connection_refused, ///< nothing listens at the address; nothing was sent
    too_many_fields,    ///< the header has more fields than allowed
    memory_short,       ///< the memory for clients is used up
    address_in_use,     ///< another socket listens at the address
    unknown_length,     ///< the head leaves in doubt where the body ends
    unknown_coding,     ///< the body has a transfer coding besides "chunked"
    unknown_status      ///< the response has a status that is no answer
};

const std::error_category& http_error_category();
std::error_code make_error_code(http_error error);

/** Whether an error means that the received bytes are no valid message, rather
    than that bytes are missing. */
bool is_invalid_message(std::error_code error);

/** The short name of such an error for metrics and events, such as
    "length_unknown". */
std::string_view invalid_message_cause(std::error_code error);

} // namespace hibiscusferry

template <>
struct std::is_error_code_enum<hibiscusferry::http_error> : std::true_type
{
};

#endif
