#include "http/message/message_framing.hpp"

#include <algorithm>
#include <string>
#include <vector>

namespace hibiscusferry
{

namespace
{

constexpr std::string_view chunked_coding = "chunked";
constexpr unsigned http_1_1 = 11;

constexpr unsigned min_status = 100;
constexpr unsigned min_final_status = 200;
constexpr unsigned max_status = 599;
constexpr unsigned switching_protocols = 101;
constexpr unsigned no_content = 204;

bool is_digit(char character)
{
    return character >= '0' && character <= '9';
}

bool is_empty(std::string_view text)
{
    return text.empty();
}

bool is_chunked(std::string_view coding)
{
    return boost::beast::iequals(
        {coding.data(), coding.size()},
        {chunked_coding.data(), chunked_coding.size()});
}

std::string_view trim(std::string_view text)
{
    constexpr std::string_view blanks = " \t";
    const std::size_t begin = text.find_first_not_of(blanks);
    if (begin == std::string_view::npos)
        return {};
    return text.substr(begin, text.find_last_not_of(blanks) - begin + 1);
}

/** The values of all fields with a name. */
std::vector<std::string_view> values_of(const beast_http::fields& fields,
                                        beast_http::field name)
{
    std::vector<std::string_view> values;
    for (const beast_http::fields::value_type& field : fields)
    {
        if (field.name() == name)
            values.push_back(
                trim({field.value().data(), field.value().size()}));
    }
    return values;
}

/** Splits lists at their commas. Commas in quoted parameters count as well:
    such a list is refused in any case. */
std::vector<std::string_view>
split_lists(const std::vector<std::string_view>& lists)
{
    std::vector<std::string_view> elements;
    for (const std::string_view list : lists)
    {
        std::size_t begin = 0;
        for (std::size_t comma = 0; comma != std::string_view::npos;
             begin = comma + 1)
        {
            comma = list.find(',', begin);
            elements.push_back(trim(list.substr(begin, comma - begin)));
        }
    }
    return elements;
}

} // namespace

result<void> check_framing(unsigned version, const beast_http::fields& fields)
{
    const std::vector<std::string_view> lengths =
        values_of(fields, beast_http::field::content_length);
    const bool is_length_certain =
        lengths.empty() ||
        (lengths.size() == 1 && !lengths[0].empty() &&
         std::all_of(lengths[0].begin(), lengths[0].end(), is_digit));
    if (!is_length_certain)
        return make_error_code(http_error::unknown_length);

    const std::vector<std::string_view> coding_lists =
        values_of(fields, beast_http::field::transfer_encoding);
    if (coding_lists.empty())
        return outcome::success();
    if (version < http_1_1 || !lengths.empty())
        return make_error_code(http_error::unknown_length);
    const std::vector<std::string_view> codings = split_lists(coding_lists);
    if (codings.size() == 1 && is_chunked(codings[0]))
        return outcome::success();
    // The message is refused in any case; the difference is in the reason.
    const bool is_length_known =
        is_chunked(codings.back()) &&
        std::count_if(codings.begin(), codings.end(), is_chunked) == 1 &&
        std::none_of(codings.begin(), codings.end(), is_empty);
    return make_error_code(is_length_known ? http_error::unknown_coding
                                           : http_error::unknown_length);
}

result<void> check_response_head(const beast_http::response_header<>& head)
{
    const unsigned status = head.result_int();
    if (status < min_status || status > max_status ||
        status == switching_protocols)
        return make_error_code(http_error::unknown_status);
    const result<void> framing = check_framing(head.version(), head);
    if (!framing)
        return framing;
    // Such a response has no body, so that the bytes of one would be read as
    // the next response.
    const bool announces_body =
        head.count(beast_http::field::transfer_encoding) > 0 ||
        (head.count(beast_http::field::content_length) > 0 &&
         head[beast_http::field::content_length] != "0");
    if (announces_body && (status < min_final_status || status == no_content))
        return make_error_code(http_error::unknown_length);
    return outcome::success();
}

} // namespace hibiscusferry
