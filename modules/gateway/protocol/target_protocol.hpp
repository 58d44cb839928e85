#ifndef HIBISCUSFERRY_GATEWAY_PROTOCOL_TARGET_PROTOCOL_HPP
#define HIBISCUSFERRY_GATEWAY_PROTOCOL_TARGET_PROTOCOL_HPP

#include "gateway/protocol/caller_protocol.hpp"
#include "serving/serving.hpp"
#include <chrono>
#include <optional>
#include <string>

namespace hibiscusferry
{

/** A prompt's KV cache at the engine that has read it. */
struct kv_cache_handle
{
    http_endpoint engine;
    /** Good for one use at that engine. */
    std::string handle;
};

/** How a request is offered to a target. */
struct attempt_options
{
    const gateway_request& request;
    const target_record& target;
    std::chrono::milliseconds time_left{0};
    unsigned rank = 0;
    /** Only read the prompt and keep its KV cache. */
    bool prefill_only = false;
    /** Fetch the prompt's KV cache from there. */
    std::optional<kv_cache_handle> kv_cache;
    /** First fetch what that engine keeps of the prompt. */
    std::optional<http_endpoint> source_engine;
    /** Go on after this event of a stream; empty for all of it. */
    std::string resume_after;
};

/** What the head of a target's answer says. */
struct target_response
{
    /** It repeats the id of the request it answers. */
    bool echoes_request_id = false;
    /** The target has not run the request and never will. */
    bool is_not_run = false;
    /** Another target has that address now. */
    bool is_misdirected = false;
    bool is_event_stream = false;
    std::optional<reported_load> load;
};

/** What an engine says of itself when asked. */
struct engine_status
{
    target_role stage = target_role::mixed;
    /** It is carrying out an order. */
    bool is_changing = false;
    /** Orders accepted in this life. */
    std::uint64_t order_count = 0;
};

/** An order that changes an engine's stage. */
struct stage_order
{
    target_record target;
    target_role stage = target_role::decode;
    /** The host that gives it. */
    std::string holder;
    std::uint64_t fencing_number = 0;
    /** The engine's order count that the order was decided from. */
    std::uint64_t expected_order_count = 0;
};

/** What became of an order. */
enum class stage_order_result
{
    accepted,
    already_applied,
    refused ///< another order came between, or the engine is another one
};

/** What targets speak. */
class target_protocol
{
public:
    virtual ~target_protocol() = default;

    virtual http_request write_attempt(const attempt_options& terms) const = 0;
    virtual target_response read_response(const http_response_head& head,
                                          const gateway_request& request,
                                          time_point now) const = 0;

    /** The headers of a target's answer that its caller gets. */
    virtual http_headers
    headers_for_caller(const http_headers& headers) const = 0;

    /** Reads the answer to an offer that only reads the prompt. */
    virtual result<kv_cache_handle>
    read_kv_cache_handle(const std::string& body,
                         const target_record& engine) const = 0;
    virtual http_request
    write_release(const kv_cache_handle& kv_cache) const = 0;

    virtual http_request write_status_request() const = 0;
    virtual result<engine_status>
    read_status(const std::string& body) const = 0;

    virtual http_request write_order(const stage_order& order) const = 0;
    virtual stage_order_result read_order_response(unsigned status) const = 0;
};

} // namespace hibiscusferry

#endif
