#ifndef HIBISCUSFERRY_SHARING_MESSAGE_TEXT_DELTA_HPP
#define HIBISCUSFERRY_SHARING_MESSAGE_TEXT_DELTA_HPP

#include "foundation/foundation.hpp"
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace hibiscusferry
{

/** A hash of a large text (XXH3, 64 bits), many times faster than
    stable_hash(). The same on all hosts. */
std::uint64_t text_digest(std::string_view text);

/** Compresses a text with another one as a dictionary, so that the size of the
    result follows the size of their difference (a Zstandard frame, RFC 8878,
    with the base as its prefix).

    @param base  empty if the text is to be readable by itself
    @returns std::errc::not_enough_memory if it cannot be compressed
*/
result<std::string> encode_text_delta(std::string_view text,
                                      std::string_view base);

/** Restores a text.

    @param base       the text that encode_text_delta() was given. Another one
                      leads to an error or to another text, which only its
                      text_digest() shows
    @param max_bytes  maximum size of the text
    @returns std::errc::bad_message if the bytes cannot be decompressed or the
             text is larger
*/
result<std::string> decode_text_delta(std::string_view bytes,
                                      std::string_view base,
                                      std::size_t max_bytes);

} // namespace hibiscusferry

#endif
