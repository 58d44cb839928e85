#ifndef HIBISCUSFERRY_DOCUMENT_MODEL_SERVICE_DOCUMENT_HPP
#define HIBISCUSFERRY_DOCUMENT_MODEL_SERVICE_DOCUMENT_HPP

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hibiscusferry
{

/** The kind of targets that serve a service. */
enum class service_kind
{
    model,      ///< model engines with the common model API
    application ///< plain HTTP servers
};

/** Whether the service's targets check the fencing numbers of orders. */
enum class order_check
{
    fencing, ///< targets reject an order with an outdated fencing number
    none     ///< targets accept any order
};

/** A class of requests, with its conditions and priority.

    A request belongs to the first class whose conditions it all meets. Every
    request meets an empty condition.
*/
struct request_class
{
    std::string name;
    /** Urgent classes take precedence over all others, within their own
        limits. */
    bool urgent = false;
    /** The request's method, or empty. */
    std::string method;
    /** A path relative to the service; a trailing '*' matches any remainder. */
    std::string path;
    /** The value of the request's X-Request-Class header, or empty. */
    std::string header;
    /** The maximum time between accepting a request and responding to the
        caller. */
    std::chrono::milliseconds deadline{30000};
};

/** Identifies calls that may run at most once. */
struct not_repeatable_rule
{
    std::string method;
    /** A path relative to the service; a trailing '*' matches any remainder. */
    std::string path;
    /** The path at which the target reports the outcome of a call, with {key}
        standing for the call's key. Empty if the target cannot report
        outcomes. */
    std::string status_path;
};

/** A workspace with its credentials, share and limits. */
struct workspace_entry
{
    std::string name;
    /** The SHA-256 digest of the bearer key, as 64 hexadecimal digits. */
    std::string key_sha256;
    /** The share of the service under contention, relative to the other
        workspaces. */
    double weight = 1.0;
    /** The maximum sustained rate over all hosts, in weighted tokens per
        second; 0 for no limit. */
    double tokens_per_second = 0;
    /** The maximum sustained rate of urgent requests, in weighted tokens per
        second; 0 for no limit. */
    double urgent_tokens_per_second = 0;
};

/** Limits that apply to the whole service. */
struct service_limits
{
    /** The maximum number of requests waiting at one host. */
    std::uint32_t queue_length = 256;
    /** The maximum size of a request body, in bytes. */
    std::uint64_t body_bytes = 4U << 20;
    /** The number of retries allowed per hundred requests. */
    std::uint32_t retry_percent = 10;
    /** The maximum number of concurrent requests at one target. */
    std::uint32_t target_concurrency = 32;
};

/** Rules for changing the roles of a model service's engines. */
struct role_rules
{
    /** The weight of goodput against the number of role changes: 0 considers
        only the number of changes, 1 only goodput. */
    double goodput_weight = 0.5;
    /** The maximum number of engines unavailable for a change at the same
        time. */
    std::uint32_t max_unavailable = 1;
    /** How long an engine is unavailable during a role change. */
    std::chrono::milliseconds change_duration{8000};
    /** The minimum number of engines that always serve in the mixed role. */
    std::uint32_t min_mixed_engines = 1;
};

/** The cost of tokens relative to one decoded token. */
struct token_cost
{
    double prefill = 0.1;
    double decode = 1.0;
};

/** The latency objectives of a model service. */
struct latency_targets
{
    std::chrono::milliseconds first_token{340};
    std::chrono::milliseconds between_tokens{47};
};

/** The document of one service, owned by that service's team. */
struct service_document
{
    /** The schema version, which is 1. */
    std::uint32_t schema = 1;
    std::string service;
    std::string owner;
    service_kind kind = service_kind::model;
    std::string region;
    std::vector<std::string> models;
    order_check targets_check_orders = order_check::fencing;
    service_limits limits;
    token_cost cost;
    latency_targets latency;
    role_rules roles;
    std::vector<request_class> classes;
    std::vector<not_repeatable_rule> not_repeatable;
    std::vector<workspace_entry> workspaces;
};

} // namespace hibiscusferry

#endif
