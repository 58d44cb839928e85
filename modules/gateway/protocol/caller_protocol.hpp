#ifndef HIBISCUSFERRY_GATEWAY_PROTOCOL_CALLER_PROTOCOL_HPP
#define HIBISCUSFERRY_GATEWAY_PROTOCOL_CALLER_PROTOCOL_HPP

#include "http/http.hpp"
#include "serving/serving.hpp"
#include <chrono>
#include <optional>
#include <string>

namespace hibiscusferry
{

/** A caller's request, decoded. */
struct gateway_request
{
    /** The caller's name for this attempt; targets repeat it. */
    std::string id;
    std::string host;
    /** What is passed on: without headers that concern one connection only,
        and without those that only this system may set. */
    http_request message;
    /** How long the caller waits, counted from the request's arrival. */
    std::optional<std::chrono::milliseconds> time_left;
    /** Set for generations. */
    std::optional<prompt_info> prompt;
};

/** Why a request is answered by this system and not by a target. */
enum class refusal_cause
{
    no_configuration,  ///< this host knows no configuration yet
    no_route,          ///< no route takes the request
    bad_request,       ///< the request cannot be understood
    no_target,         ///< no target takes work
    overloaded,        ///< it could not be served in time
    target_refused,    ///< targets refused it as not run
    out_of_time,       ///< its time was over before it was sent
    outcome_unknown,   ///< it was sent, and may have run
    deadline_exceeded, ///< it was sent, and its time is over
    stopping           ///< this host stops before it could be answered
};

/** "no_configuration", "no_route", and so on. */
std::string_view to_text(refusal_cause reason);

/** An answer of this system's own. */
struct refusal
{
    refusal_cause reason = refusal_cause::overloaded;
    /** When the caller may come back; only where the request has not run. */
    std::optional<std::chrono::milliseconds> retry_after;
};

/** What callers speak. */
class caller_protocol
{
public:
    virtual ~caller_protocol() = default;

    virtual gateway_request read(const http_request& message) const = 0;

    virtual http_response write(const refusal& answer) const = 0;
};

} // namespace hibiscusferry

#endif
