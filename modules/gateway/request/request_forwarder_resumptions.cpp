#include "gateway/request/request_forwarder.hpp"

#include "gateway/request/request_limits.hpp"

#include <algorithm>

// The part of request_forwarder that finds the software version at which a
// stream may be resumed.

namespace hibiscusferry
{

bool request_forwarder::find_stream_version(boost::asio::yield_context yield)
{
    if (!context_.is_resumption())
        return true;
    const std::string& first_id = context_.request.resumed_request_id;
    std::optional<std::string> version;
    if (!first_id.empty())
        version = services_.versions.find(
            first_id,
            std::min(stream_versions::max_find_time,
                     context_.time_left(services_.core.now())),
            yield);
    const bool is_recorded = version.has_value();
    if (!is_recorded)
        version = infer_stream_version();
    context_.stream_software_version = version;
    context_.stream_version_source = is_recorded ? "recorded"
                                     : version   ? "only"
                                                 : "unknown";
    services_.core.metrics()
        .counter_of("hibiscusferry_stream_resumptions_total",
                    "version=\"" + context_.stream_version_source + "\"")
        .add();
    if (version || context_.is_caller_disconnected)
        return true;
    refuse(refusal_cause::unknown_stream_version, no_target_backlog, yield);
    return false;
}

std::optional<std::string> request_forwarder::infer_stream_version()
{
    const software_version_history& versions =
        services_.fleet.software_versions();
    const time_point now = services_.core.now();
    const std::optional<time_point> confirmed_at = versions.list_confirmed_at();
    if (confirmed_at)
        context_.target_list_age =
            std::chrono::ceil<std::chrono::milliseconds>(now - *confirmed_at);
    return versions.only_version(context_.service,
                                 context_.matched_route->time_limit, now);
}

} // namespace hibiscusferry
