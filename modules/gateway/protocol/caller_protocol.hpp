#ifndef HIBISCUSFERRY_GATEWAY_PROTOCOL_CALLER_PROTOCOL_HPP
#define HIBISCUSFERRY_GATEWAY_PROTOCOL_CALLER_PROTOCOL_HPP

#include "http/http.hpp"
#include "serving/serving.hpp"
#include <chrono>
#include <optional>
#include <string>

namespace hibiscusferry
{

/** A decoded request of a caller. */
struct gateway_request
{
    /** Chosen by the caller; targets echo it in their responses. */
    std::string id;
    std::string host;
    /** The credentials of the caller; empty if it states none. Its address does
        not identify it, since it may send its next request from another one. */
    std::string caller;
    /** The key that the caller presents; empty if it presents none, several, or
        an unusable one. */
    std::string key;
    /** The request to forward, without hop-by-hop headers and without headers
        that only this system may set. */
    http_request message;
    /** The caller's timeout, counted from the arrival of the request. */
    std::optional<std::chrono::milliseconds> time_left;
    /** For a caller that resumes a stream: the id of its request that received
        the first event. Empty if the caller does not state one. */
    std::string resumed_request_id;
    /** The id of the event after which the caller resumes a stream; empty for a
        whole response. */
    std::string resume_after;
    /** Set for generation requests. */
    std::optional<prompt_info> prompt;
};

/** Why this system responds to a request itself instead of relaying the
    response of a target. */
enum class refusal_cause
{
    no_configuration,       ///< this host has not received a configuration yet
    no_route,               ///< no route matches the request
    bad_request,            ///< the request is malformed
    no_target,              ///< no target accepts requests
    overloaded,             ///< too little capacity for the latency objective
    target_refused,         ///< targets refused the request without running it
    expired_before_attempt, ///< the deadline passed before an attempt
    outcome_unknown,        ///< the request was sent, and may have run
    deadline_exceeded,      ///< the deadline passed after the request was sent
    stopping,               ///< this host stops before the request could finish
    unknown_stream_version, ///< no record of where the resumed stream began
    host_overloaded,        ///< this host is too busy to process the request
    prompt_suspected,       ///< targets crashed under a block of the prompt
    target_limit,           ///< the limits that targets state are used up
    request_suspected,      ///< targets crashed under the same request
    unknown_credentials,    ///< no workspace has the key of the request
    credentials_unverified, ///< this host cannot be sure that the key is valid
    configuration_outdated ///< this host lacks a configuration that others have
};

/** Returns the name under which a cause is reported to callers, in the log and
    in metrics. Some of these names differ from the enumerators. */
std::string_view to_text(refusal_cause reason);

/** A response that this system sends instead of a target. */
struct refusal
{
    refusal_cause reason = refusal_cause::overloaded;
    /** Delay after which the caller may retry; set only if the request has not
        run. */
    std::optional<std::chrono::milliseconds> retry_after;
};

/** The protocol between callers and this system. */
class caller_protocol
{
public:
    virtual ~caller_protocol() = default;

    virtual gateway_request read(const http_request& message) const = 0;

    virtual http_response write(const refusal& response) const = 0;

    /** Replaces the credentials of a request, and any workspace that it names,
        by the workspace that targets are told.
        @param workspace_name  empty to tell them none */
    virtual void set_workspace(gateway_request& request,
                               const std::string& workspace_name) const = 0;
};

} // namespace hibiscusferry

#endif
