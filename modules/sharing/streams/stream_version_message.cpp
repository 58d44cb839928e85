#include "sharing/streams/stream_version_message.hpp"

#include <array>
#include <cassert>
#include <nlohmann/json.hpp>
#include <variant>
#include <vector>

namespace hibiscusferry
{

namespace
{

/** The first field: the name of the protocol, then its format version. */
constexpr std::string_view protocol = "sv";
constexpr std::string_view protocol_version = "sv1";
/** CBOR headers of arrays and texts with a length below 24. */
constexpr unsigned char short_array_header = 0x80;
constexpr unsigned char short_text_header = 0x60;
constexpr unsigned char short_length_mask = 0x1f;
constexpr std::size_t max_fields = 5;

using message_field = std::variant<std::uint64_t, std::string>;

/** Collects the fields of a flat CBOR array of unsigned integers and texts.
    Stops at any other value. The parser recurses, so stopping at a nested value
    also bounds its use of the stack. */
class field_collector final : public nlohmann::json_sax<nlohmann::json>
{
public:
    const std::vector<message_field>& fields() const
    {
        return fields_;
    }

    bool null() override
    {
        return false;
    }
    bool boolean(bool) override
    {
        return false;
    }
    bool number_integer(number_integer_t) override
    {
        return false;
    }
    bool number_unsigned(number_unsigned_t value) override
    {
        return add(value);
    }
    bool number_float(number_float_t, const string_t&) override
    {
        return false;
    }
    bool string(string_t& value) override
    {
        return add(std::move(value));
    }
    bool binary(binary_t&) override
    {
        return false;
    }
    bool key(string_t&) override
    {
        return false;
    }
    bool start_object(std::size_t) override
    {
        return false;
    }
    bool start_array(std::size_t) override
    {
        const bool is_outermost = !is_in_array_;
        is_in_array_ = true;
        return is_outermost;
    }
    bool end_object() override
    {
        return false;
    }
    bool end_array() override
    {
        return true;
    }
    bool parse_error(std::size_t, const std::string&,
                     const nlohmann::detail::exception&) override
    {
        return false;
    }

private:
    bool add(message_field field)
    {
        if (!is_in_array_ || fields_.size() == max_fields)
            return false;
        fields_.push_back(std::move(field));
        return true;
    }

    std::vector<message_field> fields_;
    bool is_in_array_ = false;
};

/** The number at an index, or none. */
std::optional<std::uint64_t>
number_field(const std::vector<message_field>& fields, std::size_t index)
{
    if (index >= fields.size() ||
        !std::holds_alternative<std::uint64_t>(fields[index]))
        return std::nullopt;
    return std::get<std::uint64_t>(fields[index]);
}

/** The version and its lifetime in two fields from an index on, or none. */
std::optional<stream_version>
version_fields(const std::vector<message_field>& fields, std::size_t index)
{
    const std::optional<std::uint64_t> lifetime =
        number_field(fields, index + 1);
    if (!lifetime || !std::holds_alternative<std::string>(fields[index]))
        return std::nullopt;
    const std::string& version = std::get<std::string>(fields[index]);
    constexpr std::uint64_t max_lifetime_ms =
        std::chrono::milliseconds(max_stream_record_lifetime).count();
    if (version.size() > max_stream_version_bytes ||
        *lifetime > max_lifetime_ms)
        return std::nullopt;
    return stream_version{version, std::chrono::milliseconds(*lifetime)};
}

std::optional<stream_version_message>
read_record(const std::vector<message_field>& fields)
{
    const std::optional<std::uint64_t> key = number_field(fields, 2);
    const std::optional<stream_version> value = version_fields(fields, 3);
    if (fields.size() != 5 || !key || !value)
        return std::nullopt;
    return stream_version_message{stream_version_message::kind::record, *key, 0,
                                  value};
}

std::optional<stream_version_message>
read_question(const std::vector<message_field>& fields)
{
    const std::optional<std::uint64_t> key = number_field(fields, 2);
    const std::optional<std::uint64_t> number = number_field(fields, 3);
    if (fields.size() != 4 || !key || !number)
        return std::nullopt;
    return stream_version_message{stream_version_message::kind::question, *key,
                                  *number, std::nullopt};
}

std::optional<stream_version_message>
read_answer(const std::vector<message_field>& fields)
{
    const std::optional<std::uint64_t> number = number_field(fields, 2);
    if (!number)
        return std::nullopt;
    stream_version_message message{stream_version_message::kind::answer, 0,
                                   *number, std::nullopt};
    if (fields.size() == 3)
        return message;
    message.value = version_fields(fields, 3);
    if (fields.size() != 5 || !message.value)
        return std::nullopt;
    return message;
}

void append_version(nlohmann::json& fields, const stream_version& value)
{
    assert(value.version.size() <= max_stream_version_bytes);
    fields.push_back(value.version);
    fields.push_back(static_cast<std::uint64_t>(value.lifetime.count()));
}

} // namespace

bool is_stream_version_message(std::string_view bytes)
{
    if (bytes.size() < 2 + protocol.size())
        return false;
    const unsigned char array_header = static_cast<unsigned char>(bytes[0]);
    const unsigned char text_header = static_cast<unsigned char>(bytes[1]);
    return (array_header & ~short_length_mask) == short_array_header &&
           (text_header & ~short_length_mask) == short_text_header &&
           bytes.substr(2, protocol.size()) == protocol;
}

std::string encode_stream_message(const stream_version_message& message)
{
    nlohmann::json fields{std::string(protocol_version),
                          static_cast<unsigned>(message.type)};
    switch (message.type)
    {
    case stream_version_message::kind::record:
        fields.push_back(message.key);
        append_version(fields, message.value.value_or(stream_version{}));
        break;
    case stream_version_message::kind::question:
        fields.push_back(message.key);
        fields.push_back(message.number);
        break;
    case stream_version_message::kind::answer:
        fields.push_back(message.number);
        if (message.value)
            append_version(fields, *message.value);
        break;
    }
    const std::vector<std::uint8_t> bytes = nlohmann::json::to_cbor(fields);
    return {bytes.begin(), bytes.end()};
}

result<stream_version_message> decode_stream_message(std::string_view bytes)
{
    using field_reader = std::optional<stream_version_message> (*)(
        const std::vector<message_field>&);
    constexpr std::array<field_reader, 3> readers{&read_record, &read_question,
                                                  &read_answer};
    field_collector collector;
    const bool is_flat_array =
        nlohmann::json::sax_parse(bytes.begin(), bytes.end(), &collector,
                                  nlohmann::json::input_format_t::cbor);
    const std::vector<message_field>& fields = collector.fields();
    const std::optional<std::uint64_t> kind = number_field(fields, 1);
    if (!is_flat_array || !kind || *kind >= readers.size() ||
        fields.front() != message_field(std::string(protocol_version)))
        return std::make_error_code(std::errc::bad_message);
    std::optional<stream_version_message> message = readers[*kind](fields);
    if (!message)
        return std::make_error_code(std::errc::bad_message);
    return std::move(*message);
}

} // namespace hibiscusferry
