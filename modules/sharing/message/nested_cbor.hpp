#ifndef HIBISCUSFERRY_SHARING_MESSAGE_NESTED_CBOR_HPP
#define HIBISCUSFERRY_SHARING_MESSAGE_NESTED_CBOR_HPP

#include "foundation/foundation.hpp"
#include <nlohmann/json.hpp>
#include <string_view>

// Reading of messages that are nested CBOR arrays and objects; private to the
// module.

namespace hibiscusferry
{

/** Parses CBOR that another host has sent.

    The parser calls itself for each level, and messages are parsed on the small
    stack of a coroutine. So what is nested more deeply than any message is
    rejected.

    @returns std::errc::bad_message if the bytes cannot be parsed
*/
result<nlohmann::json> read_nested_cbor(std::string_view bytes);

} // namespace hibiscusferry

#endif
