#include "fuzz_input.hpp"
#include "peers/message/peer_envelope.hpp"

using namespace hibiscusferry;

/** Frames between processes: what is read has a sound payload, and is
    written and read again unchanged. */
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    const result<peer_envelope> read = decode_envelope(input_text(data, size));
    if (!read)
        return 0;
    const peer_envelope& envelope = read.value();
    require(is_valid_payload(envelope.message.payload), "a payload is sound");
    const result<peer_envelope> again =
        decode_envelope(encode_envelope(envelope));
    require(again && again.value().sender == envelope.sender &&
                again.value().incarnation == envelope.incarnation &&
                again.value().time == envelope.time &&
                again.value().message.type == envelope.message.type &&
                again.value().message.payload == envelope.message.payload,
            "an envelope reads back what it wrote");
    return 0;
}
