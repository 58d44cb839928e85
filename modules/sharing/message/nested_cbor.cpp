#include "sharing/message/nested_cbor.hpp"

#include <vector>

namespace hibiscusferry
{

namespace
{

/** Twice as many levels as any message has. */
constexpr std::size_t max_depth = 8;

/** Builds a value from the parts that the parser finds. Stops the parser where
    an array or an object begins too deep. */
class value_builder final : public nlohmann::json_sax<nlohmann::json>
{
public:
    nlohmann::json& value()
    {
        return value_;
    }

    bool null() override
    {
        return add(nullptr);
    }
    bool boolean(bool value) override
    {
        return add(value);
    }
    bool number_integer(number_integer_t value) override
    {
        return add(value);
    }
    bool number_unsigned(number_unsigned_t value) override
    {
        return add(value);
    }
    bool number_float(number_float_t value, const string_t&) override
    {
        return add(value);
    }
    bool string(string_t& value) override
    {
        return add(std::move(value));
    }
    bool binary(binary_t&) override
    {
        return false;
    }
    bool key(string_t& name) override
    {
        key_ = std::move(name);
        return true;
    }
    bool start_object(std::size_t) override
    {
        return open(nlohmann::json::object());
    }
    bool start_array(std::size_t) override
    {
        return open(nlohmann::json::array());
    }
    bool end_object() override
    {
        containers_.pop_back();
        return true;
    }
    bool end_array() override
    {
        containers_.pop_back();
        return true;
    }
    bool parse_error(std::size_t, const std::string&,
                     const nlohmann::detail::exception&) override
    {
        return false;
    }

private:
    nlohmann::json& place(nlohmann::json value)
    {
        if (containers_.empty())
        {
            value_ = std::move(value);
            return value_;
        }
        nlohmann::json& container = *containers_.back();
        if (container.is_array())
        {
            container.push_back(std::move(value));
            return container.back();
        }
        return container[key_] = std::move(value);
    }

    bool add(nlohmann::json value)
    {
        place(std::move(value));
        return true;
    }

    bool open(nlohmann::json container)
    {
        if (containers_.size() == max_depth)
            return false;
        containers_.push_back(&place(std::move(container)));
        return true;
    }

    nlohmann::json value_;
    /** The arrays and objects that are not complete, from the outermost. None
        of them moves, as only the last one grows. */
    std::vector<nlohmann::json*> containers_;
    std::string key_;
};

} // namespace

result<nlohmann::json> read_nested_cbor(std::string_view bytes)
{
    value_builder builder;
    if (!nlohmann::json::sax_parse(bytes.begin(), bytes.end(), &builder,
                                   nlohmann::json::input_format_t::cbor))
        return std::make_error_code(std::errc::bad_message);
    return std::move(builder.value());
}

} // namespace hibiscusferry
