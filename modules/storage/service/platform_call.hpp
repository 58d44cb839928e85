#ifndef HIBISCUSFERRY_STORAGE_SERVICE_PLATFORM_CALL_HPP
#define HIBISCUSFERRY_STORAGE_SERVICE_PLATFORM_CALL_HPP

#include "http/http.hpp"
#include "storage/errors/platform_error.hpp"
#include "storage/service/platform_service.hpp"

// Private to the module: what the HTTP adapters share.

namespace hibiscusferry
{

/** Makes a call that may have an effect. It is sent once: when its
    connection breaks, also one that was used before, the outcome is unknown.
    Every status comes back as an answer. */
result<http_response> platform_write(const platform_service& service,
                                     const http_request& request,
                                     time_point deadline,
                                     boost::asio::yield_context yield);

/** Makes a call without effect. When its connection breaks it is sent once
    more, on a new one. */
result<http_response> platform_read(const platform_service& service,
                                    const http_request& request,
                                    time_point deadline,
                                    boost::asio::yield_context yield);

/** What a status other than those expected means. */
platform_error unexpected_status(unsigned status);

} // namespace hibiscusferry

#endif
