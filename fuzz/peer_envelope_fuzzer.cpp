#include "fuzz_input.hpp"
#include "peers/message/peer_envelope.hpp"

using namespace hibiscusferry;

/** Fuzzes the decoder of frames sent between processes. A decoded envelope must
    have a valid payload and be unchanged after encoding and decoding. */
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    const result<peer_envelope> decoded =
        decode_envelope(input_text(data, size));
    if (!decoded)
        return 0;
    const peer_envelope& envelope = decoded.value();
    require(is_valid_payload(envelope.message.payload),
            "a decoded envelope has a valid payload");
    const result<peer_envelope> decoded_again =
        decode_envelope(encode_envelope(envelope));
    require(decoded_again && decoded_again.value().sender == envelope.sender &&
                decoded_again.value().incarnation == envelope.incarnation &&
                decoded_again.value().time == envelope.time &&
                decoded_again.value().message.type == envelope.message.type &&
                decoded_again.value().message.payload ==
                    envelope.message.payload,
            "an envelope is unchanged after a round trip");
    return 0;
}
