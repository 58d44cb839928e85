#ifndef HIBISCUSFERRY_PEERS_MESSAGE_CBOR_READER_HPP
#define HIBISCUSFERRY_PEERS_MESSAGE_CBOR_READER_HPP

#include "foundation/foundation.hpp"
#include "peers/errors/peers_error.hpp"
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

// Private to the module: safe decoding of untrusted frames.

namespace hibiscusferry
{

/** Returns whether the bytes are one well-formed CBOR value whose nesting is
    no deeper than `max_depth`. The decoder is recursive, so this must be
    checked before decoding to bound the use of the stack. */
bool is_bounded_cbor(std::string_view bytes, std::size_t max_depth);

/** Reads the fields of a frame, which is a flat CBOR array, in order. */
class cbor_array_reader
{
public:
    /** Decodes a frame.
        @returns peers_error::malformed if it is not an array of `size`
                 fields */
    static result<cbor_array_reader> open(std::string_view bytes,
                                          std::size_t size);

    /** Returns the next field. If the field has another type, is_valid()
        returns false from then on. */
    std::uint64_t number();
    std::string text();
    std::string bytes();

    /** Returns whether all fields read so far had the requested type. */
    bool is_valid() const;

private:
    explicit cbor_array_reader(nlohmann::json fields);

    const nlohmann::json& next_field();

    nlohmann::json fields_;
    std::size_t next_index_ = 0;
    bool is_valid_ = true;
};

/** Converts bytes to a CBOR byte string field. */
nlohmann::json cbor_bytes(std::string_view bytes);

/** Encodes the fields of a frame as CBOR. */
std::string encode_cbor(const nlohmann::json& fields);

} // namespace hibiscusferry

#endif
