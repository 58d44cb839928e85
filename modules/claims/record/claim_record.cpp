#include "claims/record/claim_record.hpp"

#include <array>
#include <nlohmann/json.hpp>

namespace hibiscusferry
{

namespace
{

constexpr std::array<const char*, 5> claim_state_names = {
    "claimed", "settled", "unknown", "released", "barred"};

std::optional<claim_state> parse_claim_state(const std::string& name)
{
    for (std::size_t index = 0; index < claim_state_names.size(); ++index)
    {
        if (claim_state_names[index] == name)
            return static_cast<claim_state>(index);
    }
    return std::nullopt;
}

bool is_key_character(unsigned char byte)
{
    return (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z') ||
           (byte >= '0' && byte <= '9') || byte == '-' || byte == '_' ||
           byte == '.';
}

bool is_printable(unsigned char byte)
{
    return byte >= ' ' && byte <= '~' && byte != '%';
}

std::string percent_encode(const std::string& text,
                           bool (*is_unescaped)(unsigned char))
{
    static constexpr char digits[] = "0123456789ABCDEF";
    std::string encoded;
    encoded.reserve(text.size());
    for (const char character : text)
    {
        const unsigned char byte = static_cast<unsigned char>(character);
        if (is_unescaped(byte))
        {
            encoded.push_back(character);
            continue;
        }
        encoded.push_back('%');
        encoded.push_back(digits[byte >> 4]);
        encoded.push_back(digits[byte & 15]);
    }
    return encoded;
}

std::string percent_decode(const std::string& text)
{
    std::string decoded;
    decoded.reserve(text.size());
    for (std::size_t index = 0; index < text.size(); ++index)
    {
        if (text[index] != '%' || index + 2 >= text.size())
        {
            decoded.push_back(text[index]);
            continue;
        }
        const std::string digits = text.substr(index + 1, 2);
        decoded.push_back(
            static_cast<char>(std::strtoul(digits.c_str(), nullptr, 16)));
        index += 2;
    }
    return decoded;
}

nlohmann::json response_to_json(const stored_response& answer)
{
    nlohmann::json headers = nlohmann::json::array();
    for (const response_header& header : answer.headers)
    {
        headers.push_back({percent_encode(header.name, is_printable),
                           percent_encode(header.value, is_printable)});
    }
    // Percent-encoded because a body may contain arbitrary bytes, whereas a
    // JSON string must be valid Unicode.
    return {{"status", answer.status},
            {"headers", headers},
            {"body", percent_encode(answer.body, is_printable)},
            {"body_object", answer.body_object},
            {"is_body_kept", answer.is_body_kept}};
}

stored_response response_from_json(const nlohmann::json& json)
{
    stored_response answer;
    answer.status = json.at("status").get<int>();
    for (const nlohmann::json& header : json.at("headers"))
    {
        answer.headers.push_back(
            {percent_decode(header.at(0).get<std::string>()),
             percent_decode(header.at(1).get<std::string>())});
    }
    answer.body = percent_decode(json.at("body").get<std::string>());
    answer.body_object = json.at("body_object").get<std::string>();
    answer.is_body_kept = json.at("is_body_kept").get<bool>();
    return answer;
}

claim_record record_from_json(const nlohmann::json& json, claim_state state)
{
    claim_record record;
    record.state = state;
    record.name.service = percent_decode(json.at("service"));
    record.name.workspace = percent_decode(json.at("customer"));
    record.name.idempotency_key = percent_decode(json.at("key"));
    record.body_digest = json.at("body_digest").get<std::string>();
    record.claim_id = json.at("claim_id").get<std::string>();
    record.owner.process = json.at("owner").get<std::string>();
    record.owner_timeout =
        std::chrono::milliseconds(json.at("time_limit_ms").get<std::int64_t>());
    record.has_status_path = json.at("has_status_path").get<bool>();
    record.since = std::chrono::seconds(json.at("since").get<std::int64_t>());
    if (json.contains("answer"))
        record.answer = response_from_json(json.at("answer"));
    return record;
}

} // namespace

std::string encode_key_part(const std::string& text)
{
    return percent_encode(text, is_key_character);
}

std::string claim_name::row_key() const
{
    return claim_prefix + encode_key_part(service) + "/" +
           encode_key_part(workspace) + "/" + encode_key_part(idempotency_key);
}

std::string claim_record::text() const
{
    nlohmann::json json = {
        {"state", claim_state_names[static_cast<std::size_t>(state)]},
        {"service", percent_encode(name.service, is_printable)},
        {"customer", percent_encode(name.workspace, is_printable)},
        {"key", percent_encode(name.idempotency_key, is_printable)},
        {"body_digest", body_digest},
        {"claim_id", claim_id},
        {"owner", owner.process},
        {"time_limit_ms", owner_timeout.count()},
        {"has_status_path", has_status_path},
        {"since", since.count()}};
    if (state == claim_state::settled)
        json["answer"] = response_to_json(answer);
    return json.dump();
}

result<claim_record> claim_record::parse(const std::string& text)
{
    const nlohmann::json json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object() || !json.contains("state") ||
        !json["state"].is_string())
        return make_error_code(claims_error::bad_record);
    const std::optional<claim_state> state =
        parse_claim_state(json["state"].get<std::string>());
    if (!state)
        return make_error_code(claims_error::bad_record);
    try
    {
        return record_from_json(json, *state);
    }
    catch (const nlohmann::json::exception&)
    {
        return make_error_code(claims_error::bad_record);
    }
}

std::string claim_record::open_claim_key() const
{
    return open_claim_prefix + encode_key_part(owner.process) + "/" +
           encode_key_part(claim_id);
}

std::string claim_record::unresolved_key() const
{
    return unresolved_prefix +
           name.row_key().substr(std::string(claim_prefix).size());
}

} // namespace hibiscusferry
