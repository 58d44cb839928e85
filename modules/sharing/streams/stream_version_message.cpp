#include "sharing/streams/stream_version_message.hpp"

#include "sharing/message/flat_cbor.hpp"
#include <array>
#include <cassert>

namespace hibiscusferry
{

namespace
{

/** The first field: the name of the protocol, then its format version. */
constexpr std::string_view protocol = "sv";
constexpr std::string_view protocol_version = "sv1";
constexpr std::size_t max_fields = 5;

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
    return has_protocol(bytes, protocol);
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
    const std::optional<std::vector<message_field>> fields =
        read_flat_cbor(bytes, max_fields);
    const std::optional<std::uint64_t> kind =
        fields ? number_field(*fields, 1) : std::nullopt;
    if (!kind || *kind >= readers.size() ||
        fields->front() != message_field(std::string(protocol_version)))
        return std::make_error_code(std::errc::bad_message);
    std::optional<stream_version_message> message = readers[*kind](*fields);
    if (!message)
        return std::make_error_code(std::errc::bad_message);
    return std::move(*message);
}

} // namespace hibiscusferry
