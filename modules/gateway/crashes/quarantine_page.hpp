#ifndef HIBISCUSFERRY_GATEWAY_CRASHES_QUARANTINE_PAGE_HPP
#define HIBISCUSFERRY_GATEWAY_CRASHES_QUARANTINE_PAGE_HPP

#include "gateway/crashes/crash_directory.hpp"
#include "http/http.hpp"

namespace hibiscusferry
{

/** The path of the page on which operators see the blocks and requests that are
    suspected of crashing targets, and end a suspicion. */
constexpr const char* quarantine_path = "/suspected-blocks";

/** Serves the page: GET lists the suspected blocks and requests as a JSON
   array, and DELETE with the query parameter `block`, the id of either, ends
   its suspicion at all hosts.
    @returns 404 if it is not suspected, 405 for other methods */
http_response serve_quarantine_page(crash_directory& crashes,
                                    const http_request& request);

} // namespace hibiscusferry

#endif
