#ifndef HIBISCUSFERRY_ROUTER_ERRORS_CALLER_ERROR_HPP
#define HIBISCUSFERRY_ROUTER_ERRORS_CALLER_ERROR_HPP

#include "http/http.hpp"
#include "routing/routing.hpp"
#include <chrono>
#include <string>

namespace hibiscusferry
{

/** An error as a caller sees it. */
struct caller_error
{
    unsigned status = 500;
    /** Short and stable, for programs, such as queue_full. */
    std::string code;
    /** What became of the request; never `answered`. */
    call_outcome outcome = call_outcome::not_run;
    std::string message;
    /** When trying again can help; zero when it cannot. */
    std::chrono::seconds retry_after{0};
};

/** The whole JSON answer for an error. */
http_response to_response(const caller_error& error,
                          const std::string& request_id);

/** The error as the data of a server-sent event, for a stream that has
    already begun. */
std::string to_event(const caller_error& error, const std::string& request_id);

} // namespace hibiscusferry

#endif
