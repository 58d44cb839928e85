#ifndef HIBISCUSFERRY_ROLES_MODEL_ROUTER_LOAD_REPORT_HPP
#define HIBISCUSFERRY_ROLES_MODEL_ROUTER_LOAD_REPORT_HPP

#include <chrono>
#include <cstdint>
#include <string>

namespace hibiscusferry
{

/** What one router has seen of one model's requests since the router
    started.

    All counts only grow, so that a lost report loses nothing and a repeated
    or late one is recognised by its uptime.
*/
struct router_load_report
{
    /** The id of the router's host. */
    std::string router;
    /** Grows with every start of the router. */
    std::uint64_t incarnation = 0;
    /** How long the router had run when it took the counts. */
    std::chrono::milliseconds uptime{0};
    std::string model;

    /** Requests that arrived, those that were refused included. */
    std::uint64_t offered_requests = 0;
    /** Prompt tokens of the offered requests that no cache was expected to
        hold. */
    std::uint64_t offered_prefill_tokens = 0;
    /** Requests refused as not run for want of engines. */
    std::uint64_t refused_requests = 0;
    /** Requests whose last token was passed on. */
    std::uint64_t finished_requests = 0;
    /** Tokens that engines generated. */
    std::uint64_t decoded_tokens = 0;
    /** Prompt tokens that wait at this router now; not a growing count. */
    std::uint64_t waiting_prefill_tokens = 0;
};

} // namespace hibiscusferry

#endif
