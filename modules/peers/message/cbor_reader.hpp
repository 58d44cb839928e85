#ifndef HIBISCUSFERRY_PEERS_MESSAGE_CBOR_READER_HPP
#define HIBISCUSFERRY_PEERS_MESSAGE_CBOR_READER_HPP

#include "foundation/foundation.hpp"
#include "peers/errors/peers_error.hpp"
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

// Private to the module: reads frames from others with care.

namespace hibiscusferry
{

/** Whether the bytes are one well-formed CBOR value no deeper than
    `greatest_depth`. The decoder recurses, so this is asked first. */
bool is_bounded_cbor(std::string_view bytes, std::size_t greatest_depth);

/** Reads the fields of a frame, which is one flat CBOR array. */
class cbor_array_reader
{
public:
    /** peers_error::malformed when it is not an array of `size` fields. */
    static result<cbor_array_reader> open(std::string_view bytes,
                                          std::size_t size);

    /** The next field; a wrong type makes the frame malformed. */
    std::uint64_t number();
    std::string text();
    std::string bytes();

    /** Whether all fields had the type asked for. */
    bool is_good() const;

private:
    explicit cbor_array_reader(nlohmann::json fields);

    const nlohmann::json& next();

    nlohmann::json fields_;
    std::size_t next_ = 0;
    bool is_good_ = true;
};

/** A byte string as a field of a frame. */
nlohmann::json cbor_bytes(std::string_view bytes);

/** A frame. */
std::string to_cbor_text(const nlohmann::json& fields);

} // namespace hibiscusferry

#endif
