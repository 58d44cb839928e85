#include "fuzz_input.hpp"
#include "http/message/message_framing.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <optional>
#include <string>
#include <vector>

using namespace hibiscusferry;

namespace
{

/** Draws choices from the input. */
class choices
{
public:
    choices(const std::uint8_t* data, std::size_t size)
        : data_(data)
        , end_(data + size)
    {
    }

    std::size_t below(std::size_t bound)
    {
        return data_ == end_ ? 0 : *data_++ % bound;
    }

    /** Some bytes of the input that do not end a line. */
    std::string bytes()
    {
        std::string text;
        for (std::size_t count = below(12); count > 0 && data_ != end_; --count)
        {
            const char byte = static_cast<char>(*data_++);
            if (byte != '\r' && byte != '\n')
                text += byte;
        }
        return text;
    }

private:
    const std::uint8_t* data_;
    const std::uint8_t* end_;
};

struct field_line
{
    std::string name;
    std::string value;
};

constexpr std::array<const char*, 8> names{
    "Content-Length", "Transfer-Encoding",
    "content-length", "TRANSFER-ENCODING",
    "Connection",     "Content-Length ",
    "X-Field",        ""};
constexpr std::array<const char*, 16> values{"0",
                                             "4",
                                             "04",
                                             "4, 4",
                                             "+4",
                                             "0x4",
                                             "",
                                             "chunked",
                                             "Chunked",
                                             "chunked, chunked",
                                             "gzip",
                                             "gzip, chunked",
                                             "chunked, gzip",
                                             "identity",
                                             "18446744073709551616",
                                             "chunked;q=1"};

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char character)
                   { return static_cast<char>(std::tolower(character)); });
    return text;
}

std::string trim(const std::string& text)
{
    const std::size_t begin = text.find_first_not_of(" \t");
    if (begin == std::string::npos)
        return {};
    return text.substr(begin, text.find_last_not_of(" \t") - begin + 1);
}

std::vector<std::string> values_of(const std::vector<field_line>& lines,
                                   const std::string& name)
{
    std::vector<std::string> found;
    for (const field_line& line : lines)
    {
        if (lower(line.name) == name)
            found.push_back(trim(line.value));
    }
    return found;
}

/** How a body ends, by the lines as they were sent. */
struct expected_framing
{
    bool is_chunked = false;
    std::optional<std::string> length;
};

/** Returns none if the length is not certain. */
std::optional<expected_framing> framing_of(unsigned version,
                                           const std::vector<field_line>& lines)
{
    const std::vector<std::string> codings =
        values_of(lines, "transfer-encoding");
    const std::vector<std::string> lengths = values_of(lines, "content-length");
    expected_framing framing;
    framing.is_chunked = codings.size() == 1 && lower(codings[0]) == "chunked";
    const bool is_sum_allowed = codings.size() + lengths.size() <= 1;
    const bool is_coding_allowed =
        codings.empty() || (framing.is_chunked && version == 11);
    if (!is_sum_allowed || !is_coding_allowed)
        return std::nullopt;
    if (!lengths.empty())
        framing.length = lengths[0];
    return framing;
}

template <bool IsRequest>
void check(unsigned version, const std::vector<field_line>& lines)
{
    const std::string version_text = version == 11 ? "HTTP/1.1" : "HTTP/1.0";
    std::string text = IsRequest ? "POST / " + version_text + "\r\n"
                                 : version_text + " 200 OK\r\n";
    for (const field_line& line : lines)
        text += line.name + ":" + line.value + "\r\n";
    text += "\r\n";
    beast_http::parser<IsRequest, beast_http::string_body> parser;
    boost::system::error_code error;
    parser.put(boost::asio::buffer(text), error);
    if (error && error != beast_http::error::need_more)
        return;
    require(parser.is_header_done(), "the head is complete");
    const result<void> checked =
        check_framing(parser.get().version(), parser.get());
    const std::optional<expected_framing> expected = framing_of(version, lines);
    if (!checked)
        return;
    require(expected.has_value(), "an accepted length is certain");
    require(parser.chunked() == expected->is_chunked,
            "the parser reads chunks where the head states them");
    require(parser.content_length().has_value() ==
                (expected->length.has_value()),
            "the parser reads a length where the head states one");
    if (!expected->length)
        return;
    const std::string& length = *expected->length;
    require(!length.empty() &&
                std::all_of(length.begin(), length.end(),
                            [](unsigned char character)
                            { return std::isdigit(character) != 0; }),
            "an accepted length is a number");
    require(std::stoull(length) == *parser.content_length(),
            "the parser reads the length that the head states");
}

} // namespace

/** Fuzzes the framing of heads: fields that state a length or a coding, in any
    number and order. What is accepted must be what an independent reader of the
    same lines finds, and what the parser acts on. */
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    choices input(data, size);
    const unsigned version = input.below(4) == 0 ? 10 : 11;
    std::vector<field_line> lines(input.below(5));
    for (field_line& line : lines)
    {
        line.name = names[input.below(names.size())];
        line.value = values[input.below(values.size())];
        if (input.below(4) == 0)
            line.value += input.bytes();
        if (input.below(8) == 0)
            line.name += input.bytes();
        if (input.below(2) == 0)
            line.value = " " + line.value;
    }
    check<true>(version, lines);
    check<false>(version, lines);
    return 0;
}
