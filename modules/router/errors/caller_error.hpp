#ifndef HIBISCUSFERRY_ROUTER_ERRORS_CALLER_ERROR_HPP
#define HIBISCUSFERRY_ROUTER_ERRORS_CALLER_ERROR_HPP

#include "http/http.hpp"
#include "routing/routing.hpp"
#include <chrono>
#include <string>

namespace hibiscusferry
{

/** An error response sent to a caller. */
struct caller_error
{
    unsigned status = 500;
    /** Short, stable identifier for programs, such as queue_full. */
    std::string code;
    /** The outcome of the request; never `answered`. */
    call_outcome outcome = call_outcome::not_run;
    std::string message;
    /** Delay before a retry may succeed; zero when a retry cannot succeed. */
    std::chrono::seconds retry_after{0};
};

/** Builds the complete JSON response for an error. */
http_response to_response(const caller_error& error,
                          const std::string& request_id);

/** Formats the error as a server-sent event, for a stream that has already
    started. */
std::string to_event(const caller_error& error, const std::string& request_id);

} // namespace hibiscusferry

#endif
