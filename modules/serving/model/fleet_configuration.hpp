#ifndef HIBISCUSFERRY_SERVING_MODEL_FLEET_CONFIGURATION_HPP
#define HIBISCUSFERRY_SERVING_MODEL_FLEET_CONFIGURATION_HPP

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscusferry
{

/** What may be done with a request that got no answer. */
enum class request_kind
{
    idempotent,     ///< may run any number of times
    non_idempotent, ///< may run once at most
    streaming       ///< a stream; as non_idempotent unless resumable
};

/** "idempotent", "non_idempotent" or "streaming". */
std::string_view to_text(request_kind kind);

/** A service that gets a part of a route's requests. */
struct weighted_service
{
    std::string service;
    /** Its part is weight / sum of the route's weights. */
    double weight = 1;
};

/** One route: which requests it takes and what they are owed. */
struct route
{
    std::string name;
    std::string host;
    /** Begins and ends with a slash. */
    std::string prefix;
    request_kind kind = request_kind::idempotent;
    /** How long a request may be kept waiting in all. */
    std::chrono::milliseconds time_limit{0};
    /** An answer (of a stream: the first event) is on time until then. */
    std::chrono::milliseconds latency_objective{0};
    /** Longest pause between events; zero where there is none. */
    std::chrono::milliseconds event_gap_objective{0};
    /** 0 is the most urgent. */
    unsigned rank = 0;
    /** On how many targets one request may run. */
    unsigned target_limit = 1;
    /** Whether a broken stream may go on at another target. */
    bool is_resumable = false;
    std::vector<weighted_service> services;

    /** Whether a request that may have run may be sent again. */
    bool may_repeat() const;
};

/** What the engines of a service are like. */
struct engine_properties
{
    unsigned slots = 0;
    double kv_capacity_tokens = 0;
    double kv_bytes_per_token = 0;
    double link_megabits_per_second = 0;
    /** How long the KV cache of a prompt that was only read is kept. */
    std::chrono::milliseconds handle_lifetime{0};
    /** How long a change of stage takes an engine away. */
    std::chrono::milliseconds stage_change_duration{0};
};

struct service_properties
{
    std::string name;
    /** Connections that one target takes from all hosts together. */
    unsigned connection_limit = 0;
    /** Set for services of model engines. */
    std::optional<engine_properties> engine;
};

/** What a caller may send, and how slowly. */
struct caller_limits
{
    std::size_t header_bytes = 16U << 10;
    std::size_t body_bytes = 4U << 20;
    std::chrono::milliseconds header_time{3000};
    std::chrono::milliseconds idle_timeout{15000};
};

/** One version of what the operators have set for the whole fleet. */
struct fleet_configuration
{
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::vector<service_properties> services;
    caller_limits limits;
    /** What was left out because it could not be understood, for the log. */
    std::vector<std::string> problems;

    /** The service of that name, or null. */
    const service_properties* service(const std::string& name) const;
};

} // namespace hibiscusferry

#endif
