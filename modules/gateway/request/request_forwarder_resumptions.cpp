#include "gateway/request/request_forwarder.hpp"

#include "gateway/request/request_limits.hpp"

#include <algorithm>

// The part of request_forwarder that finds the software version at which a
// stream may be resumed.

namespace hibiscusferry
{

namespace
{

/** How long a resumption waits for a new list of targets, and the share of its
    time left. A store that can be reached responds sooner; otherwise another
    host may serve the caller. */
constexpr std::chrono::milliseconds max_list_wait{700};
constexpr int list_wait_divisor = 3;

/** The caller may retry immediately: another host may be in touch with the
    store. */
constexpr std::chrono::milliseconds other_host_backlog{1};

} // namespace

bool request_forwarder::find_stream_version(boost::asio::yield_context yield)
{
    if (!context_.is_resumption())
        return true;
    // Not the arrival, which is only estimated.
    const time_point begun_by = services_.core.now();
    const std::string& first_id = context_.request.resumed_request_id;
    std::optional<std::string> version;
    if (!first_id.empty())
        version = services_.versions.find(
            first_id,
            std::min(stream_versions::max_find_time,
                     context_.time_left(services_.core.now())),
            yield);
    if (version)
        context_.stream_version_source = "recorded";
    else if (context_.request.resume_after.empty())
        context_.stream_version_source = "not_begun";
    else
        context_.stream_version_source =
            infer_stream_version(begun_by, version, yield);
    context_.stream_software_version = version;
    services_.core.metrics()
        .counter_of("hibiscusferry_stream_resumptions_total",
                    "version=\"" + context_.stream_version_source + "\"")
        .add();
    const bool has_begun = !context_.request.resume_after.empty();
    if (version || !has_begun || context_.is_caller_disconnected)
        return true;
    refuse(refusal_cause::unknown_stream_version,
           context_.stream_version_source == "unconfirmed" ? other_host_backlog
                                                           : no_target_backlog,
           yield);
    return false;
}

std::string
request_forwarder::infer_stream_version(time_point begun_by,
                                        std::optional<std::string>& version,
                                        boost::asio::yield_context yield)
{
    const software_version_history& versions =
        services_.fleet.software_versions();
    // Another host, or the caller, may have had a longer time limit.
    const std::chrono::milliseconds duration = std::max(
        services_.fleet.longest_time_limit(context_.request.host,
                                           context_.request.message.path()),
        context_.request.time_left.value_or(std::chrono::milliseconds(0)));
    if (!versions.expected_version(context_.service, duration, begun_by))
        return "unknown";
    const time_point now = services_.core.now();
    const std::optional<time_point> confirmed_at = versions.list_confirmed_at();
    if (confirmed_at)
        context_.target_list_age =
            std::chrono::ceil<std::chrono::milliseconds>(now - *confirmed_at);
    const bool is_confirmed = services_.fleet.target_list().wait(
        begun_by,
        std::min(max_list_wait, context_.time_left(now) / list_wait_divisor),
        yield);
    services_.core.metrics()
        .durations_of("hibiscusferry_target_list_wait_seconds")
        .add(services_.core.now() - now);
    if (!is_confirmed)
        return "unconfirmed";
    version = versions.only_version(context_.service, duration, begun_by);
    return version ? "only" : "unknown";
}

} // namespace hibiscusferry
