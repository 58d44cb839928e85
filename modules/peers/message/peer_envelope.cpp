#include "peers/message/peer_envelope.hpp"

#include "peers/message/cbor_reader.hpp"
#include <limits>

namespace hibiscusferry
{

namespace
{

constexpr std::size_t envelope_field_count = 7;

} // namespace

std::string encode_envelope(const peer_envelope& envelope)
{
    return encode_cbor(nlohmann::json::array(
        {peer_protocol_version, envelope.message.type, envelope.sender,
         envelope.incarnation,
         static_cast<std::uint64_t>(envelope.time.wall_microseconds),
         envelope.time.counter, cbor_bytes(envelope.message.payload)}));
}

result<peer_envelope> decode_envelope(std::string_view frame)
{
    result<cbor_array_reader> opened_reader =
        cbor_array_reader::open(frame, envelope_field_count);
    if (!opened_reader)
        return opened_reader.error();
    cbor_array_reader& reader = opened_reader.value();

    const std::uint64_t version = reader.number();
    if (reader.is_valid() && version != peer_protocol_version)
        return make_error_code(peers_error::version_mismatch);
    peer_envelope envelope;
    envelope.message.type = reader.text();
    envelope.sender = reader.text();
    envelope.incarnation = reader.number();
    const std::uint64_t wall_time = reader.number();
    const std::uint64_t count = reader.number();
    envelope.message.payload = reader.bytes();

    const bool is_time_in_range =
        wall_time <= static_cast<std::uint64_t>(
                         std::numeric_limits<std::int64_t>::max()) &&
        count <= std::numeric_limits<std::uint32_t>::max();
    if (!reader.is_valid() || !is_time_in_range ||
        !is_valid_payload(envelope.message.payload))
        return make_error_code(peers_error::malformed);
    envelope.time = {static_cast<std::int64_t>(wall_time),
                     static_cast<std::uint32_t>(count)};
    return envelope;
}

} // namespace hibiscusferry
