#ifndef HIBISCUSFERRY_SERVING_MODEL_FLEET_CONFIGURATION_HPP
#define HIBISCUSFERRY_SERVING_MODEL_FLEET_CONFIGURATION_HPP

#include "serving/model/workspace_directory.hpp"
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscusferry
{

/** Whether a request that received no response may be sent again. */
enum class request_kind
{
    idempotent,     ///< may be executed any number of times
    non_idempotent, ///< may be executed at most once
    streaming       ///< an event stream; as non_idempotent unless resumable
};

/** Returns "idempotent", "non_idempotent" or "streaming". */
std::string_view to_text(request_kind kind);

/** A service that receives a share of a route's requests. */
struct weighted_service
{
    std::string service;
    /** The share is this weight divided by the sum of the route's weights. */
    double weight = 1;
};

/** A route: the requests it matches and the guarantees that apply to them. */
struct route
{
    std::string name;
    std::string host;
    /** Begins and ends with a slash. */
    std::string prefix;
    request_kind kind = request_kind::idempotent;
    /** Maximum total time to respond to a request. */
    std::chrono::milliseconds time_limit{0};
    /** Time within which the response, or the first event of a stream, meets
        the latency objective. */
    std::chrono::milliseconds latency_objective{0};
    /** Maximum interval between two events of a stream; zero if the route has
        no such objective. */
    std::chrono::milliseconds event_gap_objective{0};
    /** Priority of the requests; 0 is the most urgent. */
    unsigned rank = 0;
    /** Maximum number of targets that may execute one request. */
    unsigned max_targets = 1;
    /** Whether a broken stream may be resumed on another target. */
    bool is_resumable = false;
    /** Whether requests need no key of a workspace. */
    bool is_open = false;
    std::vector<weighted_service> services;

    /** Whether a request that a target may already have executed may be sent
        again. */
    bool is_safe_to_retry() const;
};

/** Routes in the order of the configuration. Versions of a configuration share
    those that are the same in both. */
using route_list = std::vector<std::shared_ptr<const route>>;

/** Properties that all engines of a service share. */
struct engine_properties
{
    unsigned slots = 0;
    double kv_capacity_tokens = 0;
    double kv_bytes_per_token = 0;
    double link_megabits_per_second = 0;
    /** How long a prefill engine retains the KV cache of a prompt for
        transfer. */
    std::chrono::milliseconds handle_lifetime{0};
    /** How long an engine is unavailable while it changes its stage. */
    std::chrono::milliseconds stage_change_duration{0};
};

/** How many targets of a service may be ordered, and at what price. */
struct autoscale_properties
{
    /** Limits for each availability zone, for ordinary and reclaimable targets
        together. */
    unsigned min_targets = 0;
    unsigned max_targets = 0;
    /** Time from an order until the new target serves requests. */
    std::chrono::milliseconds boot_time{0};
    /** Price of a reclaimable target as a fraction of that of an ordinary one;
        none if the service has no reclaimable targets. */
    std::optional<double> reclaimable_price;
    /** Price of a second of an ordinary target, by availability zone. */
    std::map<std::string, double> zone_prices;
};

struct service_properties
{
    std::string name;
    /** Connections that one target accepts from all hosts together. */
    unsigned connection_limit = 0;
    /** The path at which targets state whether they are healthy; empty if they
        have none. */
    std::string health_path;
    /** Set only for services whose targets are model engines. */
    std::optional<engine_properties> engine;
    /** Set only for services whose targets may be ordered. */
    std::optional<autoscale_properties> autoscale;
};

/** Limits on the size of a caller's request and the time to send it. */
struct caller_limits
{
    std::size_t header_bytes = 16U << 10;
    std::size_t body_bytes = 4U << 20;
    std::chrono::milliseconds header_timeout{3000};
    std::chrono::milliseconds idle_timeout{15000};
};

/** One version of the fleet-wide configuration set by the operators. */
struct fleet_configuration
{
    std::uint64_t version = 0;
    route_list routes;
    std::vector<service_properties> services;
    caller_limits limits;
    /** The workspaces whose callers are served; none if callers need no key. */
    std::optional<workspace_directory> workspaces;
    /** Log messages for the entries that were ignored because they are
        invalid. */
    std::vector<std::string> problems;

    /** Returns the service of the given name, or null. */
    const service_properties* service(const std::string& name) const;

    /** Returns the shortest latency objective of all routes that have one, or
        std::nullopt. */
    std::optional<std::chrono::milliseconds>
    strictest_latency_objective() const;
};

} // namespace hibiscusferry

#endif
