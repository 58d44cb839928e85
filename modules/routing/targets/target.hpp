#ifndef HIBISCUSFERRY_ROUTING_TARGETS_TARGET_HPP
#define HIBISCUSFERRY_ROUTING_TARGETS_TARGET_HPP

#include "foundation/foundation.hpp"
#include <chrono>
#include <cstdint>
#include <string>

namespace hibiscusferry
{

/** The phase of generation that an engine serves. Application servers are
    mixed. */
enum class target_role
{
    prefill,
    decode,
    mixed
};

/** The state that a target reports. */
enum class target_state
{
    serving,
    changing, ///< carries out an order; refuses requests as not run
    leaving   ///< finishes its requests in flight; refuses new ones as not run
};

/** The health of a target in the router's local view. */
enum class target_health
{
    healthy,
    suspect,    ///< the last attempts failed; used only if no healthy target
                ///< remains
    quarantined ///< not used; probed until it responds again
};

/** A target's entry in the platform's host list. */
struct target_address
{
    /** Never reused for another target. */
    std::string id;
    std::string availability_zone;
    std::string address;
    std::uint16_t port = 0;
    bool leaving = false;
};

/** A load report of a target (GET /v1/load). */
struct load_report
{
    target_role role = target_role::mixed;
    target_state state = target_state::serving;
    std::uint64_t waiting_prefill_tokens = 0;
    std::uint32_t active_streams = 0;
    std::uint64_t free_kv_tokens = 0;
    /** The age of the values when the target sent them. */
    std::chrono::milliseconds age{0};
};

/** The estimated load of a target: the last report, corrected by the router's
    own attempts that the report does not reflect. */
struct target_load
{
    double prefill_tokens = 0;
    double streams = 0;
};

} // namespace hibiscusferry

#endif
