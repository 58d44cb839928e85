#ifndef HIBISCUSFERRY_DOCUMENT_MODEL_SERVICE_DOCUMENT_HPP
#define HIBISCUSFERRY_DOCUMENT_MODEL_SERVICE_DOCUMENT_HPP

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hibiscusferry
{

/** What stands behind a service. */
enum class service_kind
{
    model,      ///< model engines with the usual model API
    application ///< plain HTTP services
};

/** Whether the service's targets check the fencing number of an order. */
enum class order_check
{
    fencing, ///< targets refuse an order with an old fencing number
    none     ///< targets obey any order
};

/** Which requests belong to a class, and what comes first.

    A request is of the first class all of whose conditions it meets; an
    empty condition is met by every request.
*/
struct request_class
{
    std::string name;
    /** Urgent classes go before all others, within their own limits. */
    bool urgent = false;
    /** The request's method, or empty. */
    std::string method;
    /** A path below the service; a trailing '*' matches any rest. */
    std::string path;
    /** The value of the request's X-Request-Class header, or empty. */
    std::string header;
    /** How long a request may wait and run before the caller is answered. */
    std::chrono::milliseconds deadline{30000};
};

/** Calls that may run at most once. */
struct not_repeatable_rule
{
    std::string method;
    /** A path below the service; a trailing '*' matches any rest. */
    std::string path;
    /** Where the target tells the outcome of a call by its key, with {key}
        in place of it; empty when the target cannot tell. */
    std::string status_path;
};

/** One workspace: who it is, and what share it has. */
struct workspace_entry
{
    std::string name;
    /** SHA-256 of the bearer key, 64 hexadecimal digits. */
    std::string key_sha256;
    /** Share of the service under contention, relative to the others. */
    double weight = 1.0;
    /** Greatest sustained rate over all hosts, in weighted tokens a second;
        0 for no limit. */
    double tokens_per_second = 0;
    /** Greatest sustained rate of urgent work, in weighted tokens a second;
        0 for no limit. */
    double urgent_tokens_per_second = 0;
};

/** Limits of the whole service. */
struct service_limits
{
    /** Requests that may wait at one host. */
    std::uint32_t queue_length = 256;
    /** Largest request body, in bytes. */
    std::uint64_t body_bytes = 4U << 20;
    /** Retries allowed for each hundred requests. */
    std::uint32_t retry_percent = 10;
    /** Concurrent requests at one target. */
    std::uint32_t target_concurrency = 32;
};

/** How a model service's engines change roles. */
struct role_rules
{
    /** 0: only the number of role changes matters; 1: only goodput. */
    double goodput_weight = 0.5;
    /** Engines that may be away for a change at once. */
    std::uint32_t max_unavailable = 1;
    /** How long a role change takes an engine away. */
    std::chrono::milliseconds change_duration{8000};
    /** Engines that always serve as mixed ones. */
    std::uint32_t min_mixed_engines = 1;
};

/** What token counts cost, relative to one decoded token. */
struct token_cost
{
    double prefill = 0.1;
    double decode = 1.0;
};

/** Promised times for a model service. */
struct latency_targets
{
    std::chrono::milliseconds first_token{340};
    std::chrono::milliseconds between_tokens{47};
};

/** The document of one service, owned by that service's team. */
struct service_document
{
    /** The version of the schema; 1. */
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
