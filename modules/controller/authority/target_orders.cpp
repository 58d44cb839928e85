#include "controller/authority/target_orders.hpp"

#include <nlohmann/json.hpp>

namespace hibiscusferry
{

namespace
{

constexpr std::chrono::milliseconds order_call_limit{3000};
constexpr std::chrono::milliseconds load_read_limit{1000};
constexpr std::size_t target_answer_byte_limit = 64U << 10;

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

order_response read_order_answer(const result<http_response>& answer)
{
    if (!answer)
        return answer.error() == http_error::connect_failed
                   ? order_response::not_sent
                   : order_response::no_response;
    const nlohmann::json body =
        nlohmann::json::parse(answer.value().body, nullptr, false);
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

result<target_load_reading> read_reading(const http_response& answer)
{
    const nlohmann::json body =
        nlohmann::json::parse(answer.body, nullptr, false);
    const result<engine_role> role =
        parse_engine_role(text_member(body, "role"));
    if (answer.status != 200 || !role)
        return make_error_code(http_error::bad_message);

    target_load_reading reading;
    reading.report.role = role.value();
    reading.report.model = text_member(body, "model");
    const std::string state = text_member(body, "state");
    if (state == "changing")
        reading.report.state = engine_state::changing;
    else if (state == "leaving")
        reading.report.state = engine_state::leaving;
    reading.report.active_streams =
        static_cast<std::uint32_t>(number_member(body, "active_streams"));
    reading.is_idle = reading.report.active_streams == 0 &&
                      number_member(body, "waiting_prefill_tokens") == 0;
    reading.age =
        std::chrono::milliseconds(number_member(body, "report_age_ms"));
    return reading;
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
    // Idle connections may be dead: an error on one would leave it unknown
    // whether the order arrived.
    pool_.forget(endpoint);
    http_call(
        context_, pool_, endpoint, {"POST", "/v1/orders", {}, body.dump()},
        order_call_limit, target_answer_byte_limit,
        [handler = std::move(handler)](const result<http_response>& answer)
        { handler(read_order_answer(answer)); });
}

void target_orders::raise_fence(
    const http_endpoint& endpoint, std::uint64_t fencing_number,
    std::function<void(result<std::uint64_t>)> handler)
{
    const nlohmann::json body = {{"fencing_number", fencing_number}};
    http_call(
        context_, pool_, endpoint, {"POST", "/v1/fence", {}, body.dump()},
        order_call_limit, target_answer_byte_limit,
        [handler = std::move(handler)](const result<http_response>& answer)
        {
            if (!answer)
            {
                handler(answer.error());
                return;
            }
            const std::uint64_t greatest = number_member(
                nlohmann::json::parse(answer.value().body, nullptr, false),
                "fencing_number");
            if (greatest == 0)
                handler(make_error_code(http_error::bad_message));
            else
                handler(greatest);
        });
}

void target_orders::read_load(
    const http_endpoint& endpoint,
    std::function<void(result<target_load_reading>)> handler)
{
    http_call(
        context_, pool_, endpoint, {"GET", "/v1/load"}, load_read_limit,
        target_answer_byte_limit,
        [handler = std::move(handler)](const result<http_response>& answer)
        {
            if (answer)
                handler(read_reading(answer.value()));
            else
                handler(answer.error());
        });
}

} // namespace hibiscusferry
