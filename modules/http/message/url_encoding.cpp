#include "http/message/url_encoding.hpp"

#include <charconv>

namespace hibiscusferry
{

std::string url_encode(std::string_view text)
{
    static constexpr char digits[] = "0123456789ABCDEF";
    std::string encoded;
    for (const char character : text)
    {
        const unsigned char byte = static_cast<unsigned char>(character);
        const bool is_unreserved =
            (byte >= '0' && byte <= '9') || (byte >= 'A' && byte <= 'Z') ||
            (byte >= 'a' && byte <= 'z') || byte == '-' || byte == '.' ||
            byte == '_' || byte == '~';
        if (is_unreserved)
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

std::string url_decode(std::string_view text)
{
    std::string decoded;
    for (std::size_t index = 0; index < text.size(); ++index)
    {
        unsigned byte = 0;
        const bool has_escape = text[index] == '%' && index + 2 < text.size();
        if (has_escape)
        {
            const char* const first = text.data() + index + 1;
            const std::from_chars_result parsed =
                std::from_chars(first, first + 2, byte, 16);
            if (parsed.ec == std::errc() && parsed.ptr == first + 2)
            {
                decoded.push_back(static_cast<char>(byte));
                index += 2;
                continue;
            }
        }
        decoded.push_back(text[index]);
    }
    return decoded;
}

} // namespace hibiscusferry
