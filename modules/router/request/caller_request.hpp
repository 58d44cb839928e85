#ifndef HIBISCUSFERRY_ROUTER_REQUEST_CALLER_REQUEST_HPP
#define HIBISCUSFERRY_ROUTER_REQUEST_CALLER_REQUEST_HPP

#include "document/document.hpp"
#include "http/http.hpp"
#include <string>
#include <string_view>

namespace hibiscusferry
{

/** A caller's request, taken apart and checked. */
struct caller_request
{
    std::string id;
    std::string service;
    /** Path and query at the target. */
    std::string target_path;
    std::string workspace;
    /** Empty when the caller gave none. */
    std::string idempotency_key;
    request_class priority;
    /** Set when the request may run at most once. */
    const not_repeatable_rule* rule = nullptr;
    bool is_idempotent = false;
    time_point arrived;
    time_point deadline;
    http_request message;
};

/** A path /services/NAME/REST in its parts. */
struct service_path
{
    std::string service;
    /** "/REST" with its query. */
    std::string rest;
};

/** Takes a caller's path apart; both parts are empty when it is not of that
    form. */
service_path parse_service_path(std::string_view target);

/** The bearer key of an Authorization header, or an empty text. */
std::string bearer_key(std::string_view authorization);

/** The request as it goes to a target: without the headers that concern the
    caller's connection or key, with the attempt's own. */
http_request to_target_request(const caller_request& request,
                               const std::string& attempt_id, time_point now);

/** The target's headers that a caller gets. */
http_headers to_caller_headers(const http_headers& headers,
                               const std::string& request_id);

} // namespace hibiscusferry

#endif
