#ifndef HIBISCUSFERRY_SHARING_LOAD_IN_FLIGHT_LOAD_HPP
#define HIBISCUSFERRY_SHARING_LOAD_IN_FLIGHT_LOAD_HPP

#include "sharing/load/engine_observations.hpp"
#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace hibiscusferry
{

/** Number of the most urgent ranks whose prefills are counted apart. */
constexpr std::size_t urgent_rank_count = 2;

/** The in-flight work of one or more hosts at a target, with their recent
    observations of it. */
struct in_flight_load
{
    /** Requests in flight. */
    double requests = 0;
    /** Prompt tokens whose prefill the target has not completed. */
    double pending_prefill_tokens = 0;
    /** KV cache tokens that the requests in flight occupy. */
    double kv_tokens = 0;
    /** Hosts that received no response from the target and consider it
        suspected. */
    double hosts_suspecting = 0;
    /** Hosts that ordered the target to change its stage and await its
        completion. */
    double hosts_changing_stage = 0;
    /** Number of recent exchanges with the target. */
    double exchanges = 0;
    /** Sum over these exchanges of the actual minus the expected duration, in
        milliseconds. */
    double delays_ms = 0;
    /** Of the pending prefill tokens, those of requests with at most this rank.
        An engine prefills them before the others. */
    std::array<double, urgent_rank_count> urgent_prefill_tokens{};

    /** Pending prefill tokens that are ahead of a new request. */
    double prefill_tokens_ahead(unsigned rank) const;

    in_flight_load& operator+=(const in_flight_load& other);
};

/** Identifies a target in messages: a hash of its id. */
using target_key = std::uint32_t;

target_key key_of_target(const std::string& target_id);

/** Identifies one incarnation of a target in messages between hosts. */
using incarnation_key = std::uint64_t;

incarnation_key key_of_incarnation(const std::string& target_id,
                                   std::chrono::milliseconds started_at);

/** Loads by target; a target without an entry has no load. */
using in_flight_loads = std::unordered_map<target_key, in_flight_load>;

void add_loads(in_flight_loads& sum, const in_flight_loads& other);

} // namespace hibiscusferry

#endif
