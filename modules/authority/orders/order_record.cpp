#include "authority/orders/order_record.hpp"

#include "authority/errors/authority_error.hpp"
#include <array>
#include <nlohmann/json.hpp>
#include <optional>

namespace hibiscusferry
{

namespace
{

constexpr std::array<const char*, 3> order_action_names = {
    "set_role", "load_model", "load_adapter"};
constexpr std::array<const char*, 5> order_state_names = {
    "intended", "sent", "done", "failed", "abandoned"};

/** Returns the enumerator with the given name, or none if the name is
    unknown. */
template <class Enum, std::size_t Size>
std::optional<Enum> parse_enum(const std::array<const char*, Size>& names,
                               const std::string& name)
{
    for (std::size_t index = 0; index < Size; ++index)
    {
        if (name == names[index])
            return static_cast<Enum>(index);
    }
    return std::nullopt;
}

nlohmann::json senders_to_json(const std::vector<process_identity>& senders)
{
    nlohmann::json list = nlohmann::json::array();
    for (const process_identity& sender : senders)
    {
        list.push_back(
            {{"host", sender.host}, {"incarnation", sender.incarnation}});
    }
    return list;
}

result<order_record> record_from_json(const nlohmann::json& fields)
{
    order_record record;
    fields.at("service").get_to(record.service);
    fields.at("region").get_to(record.region);
    fields.at("target").get_to(record.target);
    fields.at("order_id").get_to(record.order_id);
    const std::optional<order_action> action = parse_enum<order_action>(
        order_action_names, fields.at("action").get<std::string>());
    const std::optional<order_state> state = parse_enum<order_state>(
        order_state_names, fields.at("state").get<std::string>());
    if (!action || !state)
        return make_error_code(authority_error::bad_row);
    record.intent.action = *action;
    record.state = *state;
    fields.at("argument").get_to(record.intent.argument);
    fields.at("fencing_number").get_to(record.fencing_number);
    record.time_limit =
        std::chrono::milliseconds(fields.at("time_limit_ms").get<long>());
    for (const nlohmann::json& sender : fields.at("senders"))
    {
        record.senders.push_back({sender.at("host").get<std::string>(),
                                  sender.at("incarnation").get<std::string>()});
    }
    fields.at("write_id").get_to(record.write_id);
    return record;
}

} // namespace

bool operator==(const order_intent& left, const order_intent& right)
{
    return left.action == right.action && left.argument == right.argument;
}

bool operator!=(const order_intent& left, const order_intent& right)
{
    return !(left == right);
}

bool makes_engine_unavailable(order_action action)
{
    return action != order_action::load_adapter;
}

bool loads_weights(order_action action)
{
    return action != order_action::set_role;
}

std::string to_text(order_action action)
{
    return order_action_names.at(static_cast<std::size_t>(action));
}

std::string to_text(order_state state)
{
    return order_state_names.at(static_cast<std::size_t>(state));
}

bool order_record::is_settled() const
{
    return state != order_state::intended && state != order_state::sent;
}

std::string order_record::text() const
{
    const nlohmann::json fields = {{"service", service},
                                   {"region", region},
                                   {"target", target},
                                   {"order_id", order_id},
                                   {"action", to_text(intent.action)},
                                   {"argument", intent.argument},
                                   {"fencing_number", fencing_number},
                                   {"state", to_text(state)},
                                   {"time_limit_ms", time_limit.count()},
                                   {"senders", senders_to_json(senders)},
                                   {"write_id", write_id}};
    return fields.dump();
}

result<order_record> order_record::parse(const std::string& text)
{
    const nlohmann::json fields = nlohmann::json::parse(text, nullptr, false);
    if (!fields.is_object())
        return make_error_code(authority_error::bad_row);
    try
    {
        return record_from_json(fields);
    }
    catch (const nlohmann::json::exception&)
    {
        return make_error_code(authority_error::bad_row);
    }
}

std::string order_prefix(const std::string& service)
{
    return "orders/" + service + "/";
}

std::string order_key(const std::string& service, const std::string& target)
{
    return order_prefix(service) + target;
}

} // namespace hibiscusferry
