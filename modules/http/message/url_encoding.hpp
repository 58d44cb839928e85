#ifndef HIBISCUSFERRY_HTTP_MESSAGE_URL_ENCODING_HPP
#define HIBISCUSFERRY_HTTP_MESSAGE_URL_ENCODING_HPP

#include <string>
#include <string_view>

namespace hibiscusferry
{

/** Percent-encodes all but the unreserved characters of RFC 3986. */
std::string url_encode(std::string_view text);

/** Undoes url_encode; a broken escape is kept as it stands. */
std::string url_decode(std::string_view text);

} // namespace hibiscusferry

#endif
