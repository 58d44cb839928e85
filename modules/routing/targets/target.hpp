#ifndef HIBISCUSFERRY_ROUTING_TARGETS_TARGET_HPP
#define HIBISCUSFERRY_ROUTING_TARGETS_TARGET_HPP

#include "foundation/foundation.hpp"
#include <chrono>
#include <cstdint>
#include <string>

namespace hibiscusferry
{

/** Which work a model engine takes. An application server is mixed. */
enum class target_role
{
    prefill,
    decode,
    mixed
};

/** What a target says of itself. */
enum class target_state
{
    serving,
    changing, ///< carries out an order; refuses work as not run
    leaving   ///< finishes what it has; refuses new work as not run
};

/** What the router thinks of a target's health. */
enum class target_health
{
    healthy,
    suspect, ///< the last attempts failed; used only if no other is left
    out      ///< not used; probed until it answers again
};

/** A target as the platform's host list has it. */
struct target_address
{
    /** Unique over time. */
    std::string id;
    std::string availability_zone;
    std::string address;
    std::uint16_t port = 0;
    bool leaving = false;
};

/** A target's own report of its load (GET /v1/load). */
struct load_report
{
    target_role role = target_role::mixed;
    target_state state = target_state::serving;
    std::uint64_t waiting_prefill_tokens = 0;
    std::uint32_t active_streams = 0;
    std::uint64_t free_kv_tokens = 0;
    /** How old the numbers were when the target sent them. */
    std::chrono::milliseconds age{0};
};

/** The load of a target: the last report with the router's own work added
    back that the report cannot have seen. */
struct target_load
{
    double prefill_tokens = 0;
    double streams = 0;
};

} // namespace hibiscusferry

#endif
