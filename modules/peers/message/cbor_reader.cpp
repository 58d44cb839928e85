#include "peers/message/cbor_reader.hpp"

namespace hibiscusferry
{

namespace
{

/** Follows the nesting of a value and stops at the greatest depth. */
class depth_guard final : public nlohmann::json_sax<nlohmann::json>
{
public:
    explicit depth_guard(std::size_t greatest)
        : greatest_(greatest)
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
        return ++depth_ <= greatest_;
    }
    bool start_array(std::size_t) override
    {
        return ++depth_ <= greatest_;
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
    std::size_t greatest_;
    std::size_t depth_ = 0;
};

constexpr std::size_t frame_depth = 1;

} // namespace

bool is_bounded_cbor(std::string_view bytes, std::size_t greatest_depth)
{
    depth_guard guard(greatest_depth);
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
    if (!is_bounded_cbor(bytes, frame_depth))
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
    const nlohmann::json& field = next();
    is_good_ = is_good_ && field.is_number_unsigned();
    return is_good_ ? field.get<std::uint64_t>() : 0;
}

std::string cbor_array_reader::text()
{
    const nlohmann::json& field = next();
    is_good_ = is_good_ && field.is_string();
    return is_good_ ? field.get<std::string>() : std::string();
}

std::string cbor_array_reader::bytes()
{
    const nlohmann::json& field = next();
    is_good_ = is_good_ && field.is_binary();
    if (!is_good_)
        return {};
    const nlohmann::json::binary_t& binary = field.get_binary();
    return {binary.begin(), binary.end()};
}

bool cbor_array_reader::is_good() const
{
    return is_good_;
}

const nlohmann::json& cbor_array_reader::next()
{
    static const nlohmann::json none;
    if (next_ >= fields_.size())
        return none;
    return fields_[next_++];
}

nlohmann::json cbor_bytes(std::string_view bytes)
{
    return nlohmann::json::binary(
        std::vector<std::uint8_t>(bytes.begin(), bytes.end()));
}

std::string to_cbor_text(const nlohmann::json& fields)
{
    std::string text;
    nlohmann::json::to_cbor(fields, text);
    return text;
}

} // namespace hibiscusferry
