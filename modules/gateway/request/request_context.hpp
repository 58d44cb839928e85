#ifndef HIBISCUSFERRY_GATEWAY_REQUEST_REQUEST_CONTEXT_HPP
#define HIBISCUSFERRY_GATEWAY_REQUEST_REQUEST_CONTEXT_HPP

#include "gateway/protocol/caller_protocol.hpp"
#include "gateway/protocol/target_protocol.hpp"
#include "gateway/state/fleet_state.hpp"
#include <set>
#include <string>
#include <vector>

namespace hibiscusferry
{

/** What all requests of a process share. */
struct gateway_services
{
    process_core& core;
    fleet_state& fleet;
    const caller_protocol& callers;
    const target_protocol& targets;
};

/** One step of a request's way at an engine. */
struct timed_step
{
    std::string target;
    /** What the request's tokens and the engine's load said. */
    std::chrono::milliseconds expected{0};
    std::chrono::milliseconds taken{0};
};

/** One request on its way: what it asks for, its times, and what has become
    of it so far. */
struct request_context
{
    gateway_request request;
    /** Keeps `found` alive. */
    std::shared_ptr<const route_table> routes;
    const route* found = nullptr;
    std::string service;
    const service_properties* properties = nullptr;

    time_point arrived_at{};
    /** When an answer becomes late. */
    time_point late_at{};
    /** When nobody waits any more. */
    time_point deadline{};

    bool is_caller_gone = false;
    /** Closed when the caller goes away. */
    http_connection* open_connection = nullptr;

    /** Targets that are not to be asked again. */
    std::vector<std::string> excluded;
    /** Targets at which the request may have run. */
    std::set<std::string> ran_at;
    /** Offers so far, prompts that were only read included. */
    unsigned attempts = 0;
    /** The first offer to read the prompt costs no budget. */
    bool has_asked_reader = false;
    /** The prompt's KV cache, from the end of its reading until a decoder has
        taken it, and the engine that keeps it. */
    std::optional<kv_cache_handle> kv_cache;
    std::shared_ptr<target_view> kv_cache_engine;

    /** Last event of the stream that the caller has. */
    std::string last_event;
    bool has_stream_begun = false;
    std::optional<std::chrono::milliseconds> first_event_after;
    /** The last reading of the prompt, and the last offer to a decoder until
        its answer's head; each once it has ended well. */
    std::optional<timed_step> reading;
    std::optional<timed_step> decoding;
    std::string last_target;
    std::string last_problem;

    std::chrono::milliseconds elapsed(time_point now) const;
    std::chrono::milliseconds time_left(time_point now) const;
    std::chrono::milliseconds time_to_objective(time_point now) const;
};

} // namespace hibiscusferry

#endif
