#include "runtime/messages/peer_messages.hpp"

#include <limits>
#include <nlohmann/json.hpp>

namespace hibiscusferry
{

namespace
{

using nlohmann::json;

std::string encode(const json& value)
{
    const std::vector<std::uint8_t> bytes = json::to_cbor(value);
    return std::string(bytes.begin(), bytes.end());
}

json binary(const std::string& bytes)
{
    return json::binary(std::vector<std::uint8_t>(bytes.begin(), bytes.end()));
}

/** Reads the members of a decoded payload and records whether any of them was
    missing or had the wrong type. */
class payload_reader
{
public:
    explicit payload_reader(const std::string& cbor)
        : value_(json::from_cbor(cbor, true, false))
    {
        is_valid_ = value_.is_object();
    }

    explicit payload_reader(const json& value)
        : value_(value)
    {
        is_valid_ = value_.is_object();
    }

    std::string text(const char* key)
    {
        const json* const field = member(key);
        if (field == nullptr || !field->is_string())
            return reject(std::string());
        return field->get<std::string>();
    }

    std::uint64_t
    number(const char* key,
           std::uint64_t max_value = std::numeric_limits<std::uint64_t>::max())
    {
        const json* const field = member(key);
        if (field == nullptr || !field->is_number_unsigned() ||
            field->get<std::uint64_t>() > max_value)
            return reject(std::uint64_t(0));
        return field->get<std::uint64_t>();
    }

    std::uint32_t uint32_number(const char* key)
    {
        return static_cast<std::uint32_t>(
            number(key, std::numeric_limits<std::uint32_t>::max()));
    }

    bool boolean(const char* key)
    {
        const json* const field = member(key);
        if (field == nullptr || !field->is_boolean())
            return reject(false);
        return field->get<bool>();
    }

    /** Reads a finite number that is not negative. */
    double real(const char* key)
    {
        const json* const field = member(key);
        const bool is_number = field != nullptr && field->is_number();
        const double value = is_number ? field->get<double>() : -1;
        if (!(value >= 0 && value <= std::numeric_limits<double>::max()))
            return reject(0.0);
        return value;
    }

    std::chrono::milliseconds milliseconds(const char* key)
    {
        return std::chrono::milliseconds(uint32_number(key));
    }

    std::string bytes(const char* key)
    {
        const json* const field = member(key);
        if (field == nullptr || !field->is_binary())
            return reject(std::string());
        const json::binary_t& raw = field->get_binary();
        return std::string(raw.begin(), raw.end());
    }

    /** Returns a reader for each element of an array. */
    std::vector<payload_reader> list(const char* key)
    {
        const json* const field = member(key);
        if (field == nullptr || !field->is_array())
            return reject(std::vector<payload_reader>());
        std::vector<payload_reader> readers;
        for (const json& element : *field)
        {
            readers.emplace_back(element);
            is_valid_ &= readers.back().is_valid();
        }
        return readers;
    }

    std::vector<std::string> texts(const char* key)
    {
        const json* const field = member(key);
        if (field == nullptr || !field->is_array())
            return reject(std::vector<std::string>());
        std::vector<std::string> values;
        for (const json& element : *field)
        {
            if (!element.is_string())
                return reject(std::vector<std::string>());
            values.push_back(element.get<std::string>());
        }
        return values;
    }

    bool has(const char* key) const
    {
        return value_.is_object() && value_.contains(key);
    }

    bool is_valid() const
    {
        return is_valid_;
    }

    /** Makes this reader invalid if a nested reader is invalid. */
    void require(const payload_reader& nested)
    {
        is_valid_ &= nested.is_valid();
    }

private:
    const json* member(const char* key) const
    {
        return has(key) ? &value_[key] : nullptr;
    }

    template <class Value>
    Value reject(Value fallback)
    {
        is_valid_ = false;
        return fallback;
    }

    json value_;
    bool is_valid_ = false;
};

template <class Message>
result<Message> validated(const payload_reader& reader, Message message)
{
    if (!reader.is_valid())
        return std::make_error_code(std::errc::bad_message);
    return message;
}

json rumour_json(const member_rumour& rumour)
{
    return {{"h", rumour.host},
            {"s", static_cast<std::uint8_t>(rumour.state)},
            {"i", rumour.incarnation}};
}

member_rumour parse_rumour(payload_reader& reader)
{
    member_rumour rumour;
    rumour.host = reader.text("h");
    rumour.state = static_cast<member_state>(
        reader.number("s", static_cast<std::uint64_t>(member_state::excluded)));
    rumour.incarnation = reader.uint32_number("i");
    return rumour;
}

json record_json(const document_record& record)
{
    return {{"s", record.service},
            {"v", record.version},
            {"c", record.change_id},
            {"a", record.author},
            {"t", record.text}};
}

document_record parse_record(payload_reader& reader)
{
    document_record record;
    record.service = reader.text("s");
    record.version = reader.number("v");
    record.change_id = reader.text("c");
    record.author = reader.text("a");
    record.text = reader.text("t");
    return record;
}

announcement_version parse_version(payload_reader& reader)
{
    return {reader.number("f"), reader.number("n")};
}

} // namespace

std::string to_cbor(const membership_message& message)
{
    json rumours = json::array();
    for (const member_rumour& rumour : message.rumours)
        rumours.push_back(rumour_json(rumour));
    json digests = json::array();
    for (const member_digest& digest : message.digests)
        digests.push_back({{"t", digest.topic}, {"b", binary(digest.bytes)}});
    return encode({{"k", static_cast<std::uint8_t>(message.kind)},
                   {"s", message.sender},
                   {"i", message.sender_incarnation},
                   {"l", message.sender_leaving},
                   {"n", message.sequence},
                   {"u", message.subject},
                   {"r", std::move(rumours)},
                   {"d", std::move(digests)}});
}

result<membership_message> parse_membership_message(const std::string& cbor)
{
    payload_reader reader(cbor);
    membership_message message;
    message.kind = static_cast<membership_message_kind>(reader.number(
        "k",
        static_cast<std::uint64_t>(membership_message_kind::probe_request)));
    message.sender = reader.text("s");
    message.sender_incarnation = reader.uint32_number("i");
    message.sender_leaving = reader.boolean("l");
    message.sequence = reader.uint32_number("n");
    message.subject = reader.text("u");
    for (payload_reader& element : reader.list("r"))
    {
        message.rumours.push_back(parse_rumour(element));
        reader.require(element);
    }
    for (payload_reader& element : reader.list("d"))
    {
        const std::uint64_t topic = element.number("t", 255);
        message.digests.push_back(
            {static_cast<std::uint8_t>(topic), element.bytes("b")});
        reader.require(element);
    }
    return validated(reader, message);
}

std::string to_cbor(const document_query& message)
{
    return encode({{"q", message.query_id}, {"r", message.revision}});
}

result<document_query> parse_document_query(const std::string& cbor)
{
    payload_reader reader(cbor);
    document_query message;
    message.query_id = reader.number("q");
    message.revision = reader.number("r");
    return validated(reader, message);
}

std::string to_cbor(const document_reply& message)
{
    json value = {{"q", message.query_id},
                  {"r", message.revision},
                  {"c", message.is_complete},
                  {"d", json::array()}};
    if (message.confirmation_age)
        value["a"] = static_cast<std::uint64_t>(
            std::max<std::int64_t>(0, message.confirmation_age->count()));
    for (const document_record& record : message.documents)
        value["d"].push_back(record_json(record));
    return encode(value);
}

result<document_reply> parse_document_reply(const std::string& cbor)
{
    payload_reader reader(cbor);
    document_reply message;
    message.query_id = reader.number("q");
    message.revision = reader.number("r");
    message.is_complete = reader.boolean("c");
    if (reader.has("a"))
        message.confirmation_age = reader.milliseconds("a");
    for (payload_reader& element : reader.list("d"))
    {
        message.documents.push_back(parse_record(element));
        reader.require(element);
    }
    return validated(reader, message);
}

std::string to_cbor(const permission_request& message)
{
    return encode({{"q", message.request_id}, {"s", message.service}});
}

result<permission_request> parse_permission_request(const std::string& cbor)
{
    payload_reader reader(cbor);
    permission_request message;
    message.request_id = reader.number("q");
    message.service = reader.text("s");
    return validated(reader, message);
}

std::string to_cbor(const permission_reply& message)
{
    const routing_announcement& announcement = message.announcement;
    return encode(
        {{"q", message.request_id},
         {"s", announcement.service},
         {"f", announcement.version.fencing_number},
         {"n", announcement.version.sequence},
         {"t", announcement.stopped_targets},
         {"m", static_cast<std::uint64_t>(announcement.term.count())}});
}

result<permission_reply> parse_permission_reply(const std::string& cbor)
{
    payload_reader reader(cbor);
    permission_reply message;
    message.request_id = reader.number("q");
    message.announcement.service = reader.text("s");
    message.announcement.version = parse_version(reader);
    message.announcement.stopped_targets = reader.texts("t");
    message.announcement.term = reader.milliseconds("m");
    return validated(reader, message);
}

std::string to_cbor(const holder_redirect& message)
{
    return encode({{"q", message.request_id},
                   {"s", message.service},
                   {"h", message.host}});
}

result<holder_redirect> parse_holder_redirect(const std::string& cbor)
{
    payload_reader reader(cbor);
    holder_redirect message;
    message.request_id = reader.number("q");
    message.service = reader.text("s");
    message.host = reader.text("h");
    return validated(reader, message);
}

std::string to_cbor(const service_stop& message)
{
    return encode({{"s", message.service},
                   {"t", message.stop.target},
                   {"f", message.stop.version.fencing_number},
                   {"n", message.stop.version.sequence}});
}

result<service_stop> parse_service_stop(const std::string& cbor)
{
    payload_reader reader(cbor);
    service_stop message;
    message.service = reader.text("s");
    message.stop.target = reader.text("t");
    message.stop.version = parse_version(reader);
    return validated(reader, message);
}

std::string to_cbor(const stop_confirmation& message)
{
    return encode({{"r", message.router},
                   {"s", message.service},
                   {"t", message.target},
                   {"f", message.version.fencing_number},
                   {"n", message.version.sequence},
                   {"i", message.in_flight}});
}

result<stop_confirmation> parse_stop_confirmation(const std::string& cbor)
{
    payload_reader reader(cbor);
    stop_confirmation message;
    message.router = reader.text("r");
    message.service = reader.text("s");
    message.target = reader.text("t");
    message.version = parse_version(reader);
    message.in_flight = reader.uint32_number("i");
    return validated(reader, message);
}

std::string to_cbor(const service_load& message)
{
    const router_load_report& report = message.report;
    return encode({{"s", message.service},
                   {"r", report.router},
                   {"i", report.incarnation},
                   {"u", static_cast<std::uint64_t>(report.uptime.count())},
                   {"m", report.model},
                   {"o", report.offered_requests},
                   {"p", report.offered_prefill_tokens},
                   {"x", report.refused_requests},
                   {"f", report.finished_requests},
                   {"d", report.decoded_tokens},
                   {"w", report.waiting_prefill_tokens}});
}

result<service_load> parse_service_load(const std::string& cbor)
{
    payload_reader reader(cbor);
    service_load message;
    message.service = reader.text("s");
    message.report.router = reader.text("r");
    message.report.incarnation = reader.number("i");
    message.report.uptime =
        std::chrono::milliseconds(reader.number("u", 1ULL << 62));
    message.report.model = reader.text("m");
    message.report.offered_requests = reader.number("o");
    message.report.offered_prefill_tokens = reader.number("p");
    message.report.refused_requests = reader.number("x");
    message.report.finished_requests = reader.number("f");
    message.report.decoded_tokens = reader.number("d");
    message.report.waiting_prefill_tokens = reader.number("w");
    return validated(reader, message);
}

std::string to_cbor(const usage_report& message)
{
    json entries = json::array();
    for (const usage_entry& entry : message.entries)
        entries.push_back({{"k", entry.key},
                           {"o", entry.offered},
                           {"p", entry.previously_offered},
                           {"w", entry.needs_demand}});
    return encode({{"h", message.host},
                   {"i", message.incarnation},
                   {"n", message.sequence},
                   {"r", message.from_relay},
                   {"e", std::move(entries)}});
}

result<usage_report> parse_usage_report(const std::string& cbor)
{
    payload_reader reader(cbor);
    usage_report message;
    message.host = reader.text("h");
    message.incarnation = reader.number("i");
    message.sequence = reader.number("n");
    message.from_relay = reader.boolean("r");
    for (payload_reader& element : reader.list("e"))
    {
        usage_entry entry;
        entry.key = element.number("k");
        entry.offered = element.number("o");
        entry.previously_offered = element.number("p");
        entry.needs_demand = element.boolean("w");
        reader.require(element);
        message.entries.push_back(entry);
    }
    return validated(reader, message);
}

std::string to_cbor(const demand_response& message)
{
    json entries = json::array();
    for (const demand_entry& entry : message.entries)
        entries.push_back({{"k", entry.key}, {"d", entry.tokens_per_second}});
    return encode({{"r", message.to_relay}, {"e", std::move(entries)}});
}

result<demand_response> parse_demand_answer(const std::string& cbor)
{
    payload_reader reader(cbor);
    demand_response message;
    message.to_relay = reader.boolean("r");
    for (payload_reader& element : reader.list("e"))
    {
        message.entries.push_back({element.number("k"), element.real("d")});
        reader.require(element);
    }
    return validated(reader, message);
}

std::string to_cbor(const reachability_reply& message)
{
    return encode({{"n", message.hosts}});
}

result<reachability_reply> parse_reachability_reply(const std::string& cbor)
{
    payload_reader reader(cbor);
    const reachability_reply message{reader.uint32_number("n")};
    return validated(reader, message);
}

std::string empty_payload()
{
    return encode(json::object());
}

} // namespace hibiscusferry
