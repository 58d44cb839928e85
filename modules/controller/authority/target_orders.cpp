#include "controller/authority/target_orders.hpp"

#include <nlohmann/json.hpp>

namespace hibiscusferry
{

namespace
{

constexpr std::chrono::milliseconds order_call_timeout{3000};
constexpr std::chrono::milliseconds load_poll_timeout{1000};
constexpr std::size_t max_target_response_bytes = 64U << 10;

std::string text_member(const nlohmann::json& object, const char* key)
{
    return object.is_object() && object.contains(key) && object[key].is_string()
               ? object[key].get<std::string>()
               : std::string();
}

std::uint64_t number_member(const nlohmann::json& object, const char* key)
{
    return object.is_object() && object.contains(key) &&
                   object[key].is_number_unsigned()
               ? object[key].get<std::uint64_t>()
               : 0;
}

order_response parse_order_response(const result<http_response>& response)
{
    if (!response)
        return response.error() == http_error::connect_failed
                   ? order_response::not_sent
                   : order_response::no_response;
    const nlohmann::json body =
        nlohmann::json::parse(response.value().body, nullptr, false);
    const std::string state = text_member(body, "state");
    if (state == "running")
        return order_response::running;
    if (state == "done")
        return order_response::done;
    if (state == "failed")
        return order_response::failed;
    const std::string reason = text_member(body, "reason");
    if (reason == "old_fencing_number")
        return order_response::old_fencing_number;
    if (reason == "other_order_running")
        return order_response::other_order_running;
    return order_response::no_response;
}

result<target_load_report>
parse_target_load_report(const http_response& response)
{
    const nlohmann::json body =
        nlohmann::json::parse(response.body, nullptr, false);
    const result<engine_role> role =
        parse_engine_role(text_member(body, "role"));
    if (response.status != 200 || !role)
        return make_error_code(http_error::bad_message);

    target_load_report load;
    load.report.role = role.value();
    load.report.model = text_member(body, "model");
    const std::string state = text_member(body, "state");
    if (state == "changing")
        load.report.state = engine_state::changing;
    else if (state == "leaving")
        load.report.state = engine_state::leaving;
    load.report.active_streams =
        static_cast<std::uint32_t>(number_member(body, "active_streams"));
    load.is_idle = load.report.active_streams == 0 &&
                   number_member(body, "waiting_prefill_tokens") == 0;
    load.age = std::chrono::milliseconds(number_member(body, "report_age_ms"));
    return load;
}

} // namespace

target_orders::target_orders(boost::asio::io_context& context,
                             http_connection_pool& pool)
    : context_(context)
    , pool_(pool)
{
}

void target_orders::send(const http_endpoint& endpoint, const send_order& order,
                         std::function<void(order_response)> handler)
{
    const nlohmann::json body = {{"order_id", order.order_id},
                                 {"fencing_number", order.fencing_number},
                                 {"action", to_text(order.intent.action)},
                                 {"argument", order.intent.argument}};
    http_call_without_late_arrival(
        context_, pool_, endpoint, {"POST", "/v1/orders", {}, body.dump()},
        order_call_timeout, max_target_response_bytes,
        [handler = std::move(handler)](const result<http_response>& response)
        { handler(parse_order_response(response)); });
}

void target_orders::raise_fence(
    const http_endpoint& endpoint, std::uint64_t fencing_number,
    std::function<void(result<std::uint64_t>)> handler)
{
    const nlohmann::json body = {{"fencing_number", fencing_number}};
    http_call_without_late_arrival(
        context_, pool_, endpoint, {"POST", "/v1/fence", {}, body.dump()},
        order_call_timeout, max_target_response_bytes,
        [handler = std::move(handler)](const result<http_response>& response)
        {
            if (!response)
            {
                handler(response.error());
                return;
            }
            const std::uint64_t known_fencing_number = number_member(
                nlohmann::json::parse(response.value().body, nullptr, false),
                "fencing_number");
            if (known_fencing_number == 0)
                handler(make_error_code(http_error::bad_message));
            else
                handler(known_fencing_number);
        });
}

void target_orders::poll_load(
    const http_endpoint& endpoint,
    std::function<void(result<target_load_report>)> handler)
{
    http_call(
        context_, pool_, endpoint, {"GET", "/v1/load"}, load_poll_timeout,
        max_target_response_bytes,
        [handler = std::move(handler)](const result<http_response>& response)
        {
            if (response)
                handler(parse_target_load_report(response.value()));
            else
                handler(response.error());
        });
}

} // namespace hibiscusferry
