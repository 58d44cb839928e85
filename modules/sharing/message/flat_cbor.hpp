#ifndef HIBISCUSFERRY_SHARING_MESSAGE_FLAT_CBOR_HPP
#define HIBISCUSFERRY_SHARING_MESSAGE_FLAT_CBOR_HPP

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

// Reading of messages that are flat CBOR arrays; private to the module.

namespace hibiscusferry
{

/** A field of a message. */
using message_field = std::variant<std::uint64_t, std::string>;

/** Collects the fields of a flat CBOR array of unsigned integers and texts.
    Stops at any other value. The parser recurses, so stopping at a nested value
    also bounds its use of the stack. */
class field_collector final : public nlohmann::json_sax<nlohmann::json>
{
public:
    /** @param max_fields  the longest array that is accepted */
    explicit field_collector(std::size_t max_fields)
        : max_fields_(max_fields)
    {
    }

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
        if (!is_in_array_ || fields_.size() == max_fields_)
            return false;
        fields_.push_back(std::move(field));
        return true;
    }

    std::size_t max_fields_;
    std::vector<message_field> fields_;
    bool is_in_array_ = false;
};

/** The number at an index, or none. */
inline std::optional<std::uint64_t>
number_field(const std::vector<message_field>& fields, std::size_t index)
{
    if (index >= fields.size() ||
        !std::holds_alternative<std::uint64_t>(fields[index]))
        return std::nullopt;
    return std::get<std::uint64_t>(fields[index]);
}

/** Returns the fields of a flat CBOR array, or none if the bytes have another
    form or more fields. */
inline std::optional<std::vector<message_field>>
read_flat_cbor(std::string_view bytes, std::size_t max_fields)
{
    field_collector collector(max_fields);
    if (!nlohmann::json::sax_parse(bytes.begin(), bytes.end(), &collector,
                                   nlohmann::json::input_format_t::cbor))
        return std::nullopt;
    return collector.fields();
}

/** Whether bytes begin like a CBOR array whose first field is a short text that
    begins with the name of a protocol. */
inline bool has_protocol(std::string_view bytes, std::string_view protocol)
{
    constexpr unsigned char short_length_mask = 0x1f;
    constexpr unsigned char array_type = 0x80;
    constexpr unsigned char text_type = 0x60;
    constexpr unsigned char one_byte_length = 0x98;
    constexpr unsigned char two_byte_length = 0x99;
    if (bytes.empty())
        return false;
    const unsigned char array_header = static_cast<unsigned char>(bytes[0]);
    const std::size_t header_bytes = array_header == one_byte_length   ? 2
                                     : array_header == two_byte_length ? 3
                                                                       : 1;
    if ((array_header & ~short_length_mask) != array_type ||
        bytes.size() < header_bytes + 1 + protocol.size())
        return false;
    const unsigned char text_header =
        static_cast<unsigned char>(bytes[header_bytes]);
    return (text_header & ~short_length_mask) == text_type &&
           bytes.substr(header_bytes + 1, protocol.size()) == protocol;
}

} // namespace hibiscusferry

#endif
