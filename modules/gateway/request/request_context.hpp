#ifndef HIBISCUSFERRY_GATEWAY_REQUEST_REQUEST_CONTEXT_HPP
#define HIBISCUSFERRY_GATEWAY_REQUEST_REQUEST_CONTEXT_HPP

#include "gateway/crashes/request_quarantine.hpp"
#include "gateway/duties/usage_recorder.hpp"
#include "gateway/protocol/caller_protocol.hpp"
#include "gateway/protocol/target_protocol.hpp"
#include "gateway/request/response_evidence.hpp"
#include "gateway/request/response_memory.hpp"
#include "gateway/state/fleet_state.hpp"
#include "gateway/streams/stream_progress.hpp"
#include "gateway/streams/stream_versions.hpp"
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hibiscusferry
{

/** Services shared by all requests of a process. */
struct gateway_services
{
    process_core& core;
    fleet_state& fleet;
    const caller_protocol& callers;
    const target_protocol& targets;
    stream_versions& versions;
    request_quarantine& quarantine;
    /** The memory of the responses that the process buffers. */
    std::shared_ptr<response_memory> memory =
        std::make_shared<response_memory>();
    /** Null if usage is not reported. */
    usage_recorder* usage = nullptr;
};

/** The duration of the prefill or the decode step of a request. */
struct timed_step
{
    std::string target;
    /** Predicted from the tokens of the request and the load of the engine. */
    std::chrono::milliseconds expected{0};
    std::chrono::milliseconds duration{0};
    /** Tokens to be prefilled for the request, and those of other requests
        before them. */
    double pending_tokens = 0;
    double queued_tokens = 0;
};

/** The state of one request in flight: its route, its time limits, and the
    progress of its attempts. */
struct request_context
{
    gateway_request request;
    /** Owns `matched_route`. */
    std::shared_ptr<const route_table> routes;
    const route* matched_route = nullptr;
    std::string service;
    /** The workspace of the caller; empty if callers need no key, or on an open
        route. */
    std::string workspace;
    /** The rank of the route, or of the workspace if it has one. */
    unsigned rank = 0;
    const service_properties* properties = nullptr;

    time_point arrived_at{};
    /** How long the request waited in the socket before it was read. */
    std::chrono::milliseconds read_delay{0};
    /** A response after this time misses the latency objective. */
    time_point latency_deadline{};
    /** The end of the caller's time limit. */
    time_point deadline{};

    /** The connection to the caller; outlives the request. */
    http_exchange* caller = nullptr;
    bool is_caller_disconnected = false;
    /** Closed when the caller disconnects. */
    http_connection* active_connection = nullptr;

    /** Targets at which no further attempt is made. */
    std::vector<std::string> excluded;
    /** Targets that took no request of this rank when it was scheduled last,
        because of the limits that they state. */
    target_list limited;
    /** Admissions to targets that state a limit, until they are used. */
    request_admissions admissions;
    /** Targets at which the request may have run. */
    std::set<std::string> possible_run_targets;
    /** Number of attempts so far, including those that only prefill. */
    unsigned attempts = 0;
    /** The first prefill attempt is not counted against the retry budget. */
    bool has_attempted_prefill = false;
    /** The KV cache of the prompt, set from the end of the prefill until a
        decode engine has accepted the request, and the engine that holds it. */
    std::optional<kv_cache_handle> kv_cache;
    std::shared_ptr<target_view> kv_cache_engine;

    /** The memory of the buffered part of the response. */
    std::optional<response_memory::reservation> reserved_memory;
    /** What the caller has received of its stream. */
    stream_progress progress;
    bool has_stream_started = false;
    /** Whether the request has been counted as one that began to run. */
    bool is_usage_recorded = false;
    /** Whether the request is sent in order to find out whether it, or a block
        of its prompt, crashes targets. */
    bool is_probe = false;
    /** Whether a target crashed while it was running the request. */
    bool has_crashed_target = false;
    /** The software version of the target that sent the first event of the
        stream, at which alone the stream may continue; none if no event was
        sent yet. */
    std::optional<std::string> stream_software_version;
    /** How the version of a resumed stream was found, for the log; empty for
        other requests. */
    std::string stream_version_source;
    /** The age of the list of targets when that version was looked for in it;
        none if it was not. */
    std::optional<std::chrono::milliseconds> target_list_age;
    std::optional<std::chrono::milliseconds> time_to_first_event;
    /** The last successful prefill, and the last successful attempt at a decode
        engine up to the head of its response. */
    std::optional<timed_step> prefill_step;
    std::optional<timed_step> decode_step;
    std::string last_target;
    /** The software version of `last_target`. */
    std::string last_software_version;
    /** What the last attempt, other than a prefill, has shown. */
    response_evidence last_evidence;
    /** Whether the response to the caller is an error response of a target. */
    bool is_failure_relayed = false;
    std::string last_error;

    /** Whether the caller has disconnected, including a disconnect of which the
        event loop has not notified this request yet. Checked before each step
        that causes work for others. */
    bool has_caller_left();

    /** Whether the caller resumes a stream, or repeats an earlier request of
        which it has received no event. */
    bool is_resumption() const;

    /** Whether another target can continue what the caller has received of the
        response. */
    bool can_continue_elsewhere() const;

    std::chrono::milliseconds elapsed(time_point now) const;
    std::chrono::milliseconds time_left(time_point now) const;
    std::chrono::milliseconds time_to_objective(time_point now) const;
};

} // namespace hibiscusferry

#endif
