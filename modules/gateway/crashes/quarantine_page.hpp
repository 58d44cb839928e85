#ifndef HIBISCUSFERRY_GATEWAY_CRASHES_QUARANTINE_PAGE_HPP
#define HIBISCUSFERRY_GATEWAY_CRASHES_QUARANTINE_PAGE_HPP

#include "gateway/crashes/crash_directory.hpp"
#include "http/http.hpp"

namespace hibiscusferry
{

/** The path of the page on which operators see the blocks that are suspected of
    crashing targets, and end a suspicion. */
constexpr const char* quarantine_path = "/suspected-blocks";

/** Serves the page: GET lists the suspected blocks as a JSON array, and DELETE
    with the query parameter `block` ends the suspicion of that block at all
    hosts.
    @returns 404 if the block is not suspected, 405 for other methods */
http_response serve_quarantine_page(crash_directory& crashes,
                                    const http_request& request);

} // namespace hibiscusferry

#endif
