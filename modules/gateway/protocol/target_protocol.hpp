#ifndef HIBISCUSFERRY_GATEWAY_PROTOCOL_TARGET_PROTOCOL_HPP
#define HIBISCUSFERRY_GATEWAY_PROTOCOL_TARGET_PROTOCOL_HPP

#include "gateway/protocol/caller_protocol.hpp"
#include "serving/serving.hpp"
#include <chrono>
#include <optional>
#include <string>

namespace hibiscusferry
{

/** The KV cache of a prompt at the engine that prefilled it. */
struct kv_cache_handle
{
    http_endpoint engine;
    /** Valid for a single use at that engine. */
    std::string handle;
};

/** The options of one attempt at a target. */
struct attempt_options
{
    const gateway_request& request;
    const target_record& target;
    std::chrono::milliseconds time_left{0};
    unsigned rank = 0;
    /** Prefill the prompt and keep its KV cache, without generating tokens. */
    bool prefill_only = false;
    /** The KV cache of the prompt, to be fetched before decoding. */
    std::optional<kv_cache_handle> kv_cache;
    /** An engine from which to fetch cached prefixes before prefilling. */
    std::optional<http_endpoint> source_engine;
    /** Id of the event after which a stream resumes; empty for the whole
        stream. */
    std::string resume_after;
};

/** What a target states about itself in any of its responses. */
struct target_notice
{
    /** The target is leaving and must receive no new requests. */
    bool is_leaving = false;
    /** The target wants no requests from this host for this long. */
    std::optional<std::chrono::milliseconds> refuses_for;
    /** Requests per second that the target takes from all hosts together; none
        if it takes any number. */
    std::optional<double> request_limit;
    /** The text of a limit that cannot be read; empty otherwise. */
    std::string unreadable_limit;
};

/** The request that a response names as its own. */
enum class response_id
{
    missing,  ///< none
    matching, ///< the request for which the response is read
    other     ///< another request
};

/** What a response states about the run of its request. */
enum class run_statement
{
    none,
    not_run,      ///< the target has not run the request and never will
    contradictory ///< not run, with a status that means the opposite
};

/** Properties of a target's response that its head shows. They hold for the
    request to which the response belongs; see response_evidence. */
struct target_response
{
    response_id id = response_id::missing;
    run_statement statement = run_statement::none;
    /** A caller takes the status as a guarantee that the request was not run,
        whether or not the target states that. */
    bool promises_not_run = false;
    /** The address now belongs to another target. */
    bool is_misdirected = false;
    bool is_event_stream = false;
    std::optional<reported_load> load;
    target_notice notice;
};

/** The status that an engine reports. */
struct engine_status
{
    target_role stage = target_role::mixed;
    /** An order is in progress. */
    bool is_changing_stage = false;
    /** Number of orders accepted in this incarnation. */
    std::uint64_t order_count = 0;
};

/** An order that changes an engine's stage. */
struct stage_order
{
    target_record target;
    target_role stage = target_role::decode;
    /** The host that holds the lease and issues the order. */
    std::string holder;
    std::uint64_t fencing_number = 0;
    /** The order count of the engine on which the order is based. */
    std::uint64_t expected_order_count = 0;
};

/** Outcome of an order. */
enum class stage_order_result
{
    accepted,
    already_applied,
    refused, ///< the order count or the incarnation of the engine has changed
    unknown  ///< the order may be carried out
};

/** The protocol between this system and targets. */
class target_protocol
{
public:
    virtual ~target_protocol() = default;

    virtual http_request
    write_attempt(const attempt_options& options) const = 0;
    virtual target_response read_response(const http_response_head& head,
                                          const gateway_request& request,
                                          time_point now) const = 0;

    /** Reads the notice from the head of any response of a target. */
    virtual target_notice read_notice(unsigned status,
                                      const http_headers& headers) const = 0;

    /** Returns the headers of a target's response that are relayed to the
        caller. */
    virtual http_headers
    headers_for_caller(const http_headers& headers) const = 0;

    /** Parses the response to an attempt with attempt_options::prefill_only. */
    virtual result<kv_cache_handle>
    read_kv_cache_handle(const std::string& body,
                         const target_record& engine) const = 0;
    virtual http_request
    write_release(const kv_cache_handle& kv_cache) const = 0;

    /** Asks a target whether it is healthy.
        @param path  service_properties::health_path */
    virtual http_request
    write_health_request(const std::string& path,
                         const target_record& target) const = 0;
    /** Whether a response to write_health_request() may be of the process that
        the record describes, whatever it says of its health. */
    virtual bool is_health_response_of(const http_response_head& head,
                                       const target_record& target) const = 0;

    virtual http_request write_status_request() const = 0;
    virtual result<engine_status>
    read_status(const std::string& body) const = 0;

    virtual http_request write_order(const stage_order& order) const = 0;
    virtual stage_order_result
    read_order_response(const http_response_head& head) const = 0;
};

} // namespace hibiscusferry

#endif
