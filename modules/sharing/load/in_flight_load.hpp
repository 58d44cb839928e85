#ifndef HIBISCUSFERRY_SHARING_LOAD_IN_FLIGHT_LOAD_HPP
#define HIBISCUSFERRY_SHARING_LOAD_IN_FLIGHT_LOAD_HPP

#include <cstdint>
#include <string>
#include <unordered_map>

namespace hibiscusferry
{

/** What hosts have under way at one target, and have seen of it lately. */
struct in_flight_load
{
    /** Open requests. */
    double requests = 0;
    /** Prompt tokens that the target has yet to read. */
    double pending_prefill_tokens = 0;
    /** Tokens of KV cache that open requests take. */
    double kv_tokens = 0;
    /** Hosts that got no word from the target and have set it aside. */
    double hosts_suspecting = 0;
    /** Hosts that have ordered it to change its stage and wait for that. */
    double hosts_changing_stage = 0;
    /** Recent exchanges, and their delays in milliseconds against what was
        expected, added up. */
    double exchanges = 0;
    double delays_ms = 0;

    in_flight_load& operator+=(const in_flight_load& other);
};

/** Names a target in messages: a hash of its id. */
using target_key = std::uint32_t;

target_key key_of_target(const std::string& target_id);

/** Loads by target; a target that is not named has none. */
using in_flight_loads = std::unordered_map<target_key, in_flight_load>;

void add_loads(in_flight_loads& sum, const in_flight_loads& other);

/** Loads with the number of hosts that they stem from. */
struct aggregated_loads
{
    std::size_t hosts = 0;
    in_flight_loads loads;
};

} // namespace hibiscusferry

#endif
