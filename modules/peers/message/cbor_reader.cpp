#include "peers/message/cbor_reader.hpp"

namespace hibiscusferry
{

namespace
{

/** Aborts parsing when a value is nested deeper than the maximum. */
class depth_guard final : public nlohmann::json_sax<nlohmann::json>
{
public:
    explicit depth_guard(std::size_t max_nesting)
        : max_nesting_(max_nesting)
    {
    }

    bool null() override
    {
        return true;
    }
    bool boolean(bool) override
    {
        return true;
    }
    bool number_integer(number_integer_t) override
    {
        return true;
    }
    bool number_unsigned(number_unsigned_t) override
    {
        return true;
    }
    bool number_float(number_float_t, const string_t&) override
    {
        return true;
    }
    bool string(string_t&) override
    {
        return true;
    }
    bool binary(binary_t&) override
    {
        return true;
    }
    bool key(string_t&) override
    {
        return true;
    }
    bool start_object(std::size_t) override
    {
        return ++depth_ <= max_nesting_;
    }
    bool start_array(std::size_t) override
    {
        return ++depth_ <= max_nesting_;
    }
    bool end_object() override
    {
        --depth_;
        return true;
    }
    bool end_array() override
    {
        --depth_;
        return true;
    }
    bool parse_error(std::size_t, const std::string&,
                     const nlohmann::detail::exception&) override
    {
        return false;
    }

private:
    std::size_t max_nesting_;
    std::size_t depth_ = 0;
};

constexpr std::size_t max_frame_depth = 1;

} // namespace

bool is_bounded_cbor(std::string_view bytes, std::size_t max_depth)
{
    depth_guard guard(max_depth);
    try
    {
        return nlohmann::json::sax_parse(bytes.begin(), bytes.end(), &guard,
                                         nlohmann::json::input_format_t::cbor);
    }
    catch (const nlohmann::json::exception&)
    {
        return false;
    }
}

cbor_array_reader::cbor_array_reader(nlohmann::json fields)
    : fields_(std::move(fields))
{
}

result<cbor_array_reader> cbor_array_reader::open(std::string_view bytes,
                                                  std::size_t size)
{
    if (!is_bounded_cbor(bytes, max_frame_depth))
        return make_error_code(peers_error::malformed);
    try
    {
        nlohmann::json fields = nlohmann::json::from_cbor(bytes);
        if (!fields.is_array() || fields.size() != size)
            return make_error_code(peers_error::malformed);
        return cbor_array_reader(std::move(fields));
    }
    catch (const nlohmann::json::exception&)
    {
        return make_error_code(peers_error::malformed);
    }
}

std::uint64_t cbor_array_reader::number()
{
    const nlohmann::json& field = next_field();
    is_valid_ = is_valid_ && field.is_number_unsigned();
    return is_valid_ ? field.get<std::uint64_t>() : 0;
}

std::string cbor_array_reader::text()
{
    const nlohmann::json& field = next_field();
    is_valid_ = is_valid_ && field.is_string();
    return is_valid_ ? field.get<std::string>() : std::string();
}

std::string cbor_array_reader::bytes()
{
    const nlohmann::json& field = next_field();
    is_valid_ = is_valid_ && field.is_binary();
    if (!is_valid_)
        return {};
    const nlohmann::json::binary_t& binary = field.get_binary();
    return {binary.begin(), binary.end()};
}

bool cbor_array_reader::is_valid() const
{
    return is_valid_;
}

const nlohmann::json& cbor_array_reader::next_field()
{
    static const nlohmann::json missing_field;
    if (next_index_ >= fields_.size())
        return missing_field;
    return fields_[next_index_++];
}

nlohmann::json cbor_bytes(std::string_view bytes)
{
    return nlohmann::json::binary(
        std::vector<std::uint8_t>(bytes.begin(), bytes.end()));
}

std::string encode_cbor(const nlohmann::json& fields)
{
    std::string text;
    nlohmann::json::to_cbor(fields, text);
    return text;
}

} // namespace hibiscusferry
