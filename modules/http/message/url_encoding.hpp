#ifndef HIBISCUSFERRY_HTTP_MESSAGE_URL_ENCODING_HPP
#define HIBISCUSFERRY_HTTP_MESSAGE_URL_ENCODING_HPP

#include <string>
#include <string_view>

namespace hibiscusferry
{

/** Percent-encodes all characters except the unreserved ones of RFC 3986. */
std::string url_encode(std::string_view text);

/** Decodes percent-encoded text. Invalid escapes are left unchanged. */
std::string url_decode(std::string_view text);

} // namespace hibiscusferry

#endif
