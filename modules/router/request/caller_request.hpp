#ifndef HIBISCUSFERRY_ROUTER_REQUEST_CALLER_REQUEST_HPP
#define HIBISCUSFERRY_ROUTER_REQUEST_CALLER_REQUEST_HPP

#include "document/document.hpp"
#include "http/http.hpp"
#include <string>
#include <string_view>

namespace hibiscusferry
{

/** A parsed and validated request from a caller. */
struct caller_request
{
    std::string id;
    std::string service;
    /** Path and query sent to the target. */
    std::string target_path;
    std::string workspace;
    /** Empty when the caller sent none. */
    std::string idempotency_key;
    request_class priority;
    /** Set when the request may run at most once. */
    const not_repeatable_rule* rule = nullptr;
    bool is_idempotent = false;
    time_point received_at;
    time_point deadline;
    http_request message;
};

/** The parts of a path of the form /services/NAME/REST. */
struct service_path
{
    std::string service;
    /** "/REST" with its query. */
    std::string rest;
};

/** Parses the path of a caller's request; both parts are empty when it does
    not have this form. */
service_path parse_service_path(std::string_view target);

/** Returns the bearer key of an Authorization header, or an empty string. */
std::string bearer_key(std::string_view authorization);

/** Builds the request sent to a target: removes the headers that apply to the
    caller's connection or key, and adds the headers of the attempt. */
http_request to_target_request(const caller_request& request,
                               const std::string& attempt_id, time_point now);

/** Returns the headers of a target's response that are forwarded to the
    caller. */
http_headers to_caller_headers(const http_headers& headers,
                               const std::string& request_id);

} // namespace hibiscusferry

#endif
