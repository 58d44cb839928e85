#include "router/request/caller_request.hpp"

#include <algorithm>
#include <array>
#include <boost/algorithm/string/predicate.hpp>

namespace hibiscusferry
{

namespace
{

constexpr std::string_view services_prefix = "/services/";

/** Headers that are not forwarded because they apply to a single connection
    (RFC 9110) or carry the caller's key. */
constexpr std::array<std::string_view, 11> connection_headers = {
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "host",
    "authorization",
    "proxy-authorization"};

/** Headers that only this system may set. */
constexpr std::array<std::string_view, 4> reserved_headers = {
    "x-attempt-id", "x-priority", "x-deadline-ms", "x-not-run"};

template <std::size_t Size>
bool is_one_of(const std::array<std::string_view, Size>& names,
               std::string_view name)
{
    return std::any_of(names.begin(), names.end(),
                       [name](std::string_view candidate)
                       { return boost::algorithm::iequals(candidate, name); });
}

} // namespace

service_path parse_service_path(std::string_view target)
{
    if (target.substr(0, services_prefix.size()) != services_prefix)
        return {};
    target.remove_prefix(services_prefix.size());
    const std::size_t end = target.find_first_of("/?");
    if (end == 0 || end == std::string_view::npos || target[end] == '?')
        return {};
    return {std::string(target.substr(0, end)),
            std::string(target.substr(end))};
}

std::string bearer_key(std::string_view authorization)
{
    constexpr std::string_view scheme = "Bearer ";
    if (!boost::algorithm::istarts_with(authorization, scheme))
        return {};
    return std::string(authorization.substr(scheme.size()));
}

http_request to_target_request(const caller_request& request,
                               const std::string& attempt_id, time_point now)
{
    http_request message;
    message.method = request.message.method;
    message.target = request.target_path;
    for (const http_header& field : request.message.headers.fields())
    {
        const bool is_forwarded = !is_one_of(connection_headers, field.name) &&
                                  !is_one_of(reserved_headers, field.name);
        if (is_forwarded)
            message.headers.add(field.name, field.value);
    }
    const std::chrono::milliseconds remaining =
        std::chrono::duration_cast<std::chrono::milliseconds>(request.deadline -
                                                              now);
    message.headers.set("X-Attempt-Id", attempt_id);
    message.headers.set("X-Request-Id", request.id);
    message.headers.set("X-Priority", request.priority.urgent ? "0" : "5");
    message.headers.set("X-Deadline-Ms", std::to_string(remaining.count()));
    message.body = request.message.body;
    return message;
}

http_headers to_caller_headers(const http_headers& headers,
                               const std::string& request_id)
{
    http_headers forwarded;
    for (const http_header& field : headers.fields())
    {
        const bool is_forwarded = !is_one_of(connection_headers, field.name) &&
                                  !is_one_of(reserved_headers, field.name);
        if (is_forwarded)
            forwarded.add(field.name, field.value);
    }
    forwarded.set("X-Request-Id", request_id);
    return forwarded;
}

} // namespace hibiscusferry
