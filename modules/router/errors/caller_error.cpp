#include "router/errors/caller_error.hpp"

#include <nlohmann/json.hpp>

namespace hibiscusferry
{

namespace
{

std::string error_body(const caller_error& error, const std::string& request_id)
{
    const nlohmann::json body = {{"error",
                                  {{"code", error.code},
                                   {"outcome", to_text(error.outcome)},
                                   {"message", error.message},
                                   {"request_id", request_id}}}};
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

http_response to_response(const caller_error& error,
                          const std::string& request_id)
{
    http_response response =
        json_response(error.status, error_body(error, request_id));
    response.headers.set("X-Request-Id", request_id);
    if (error.retry_after.count() > 0)
        response.headers.set("Retry-After",
                             std::to_string(error.retry_after.count()));
    return response;
}

std::string to_event(const caller_error& error, const std::string& request_id)
{
    return "event: error\ndata: " + error_body(error, request_id) + "\n\n";
}

} // namespace hibiscusferry
