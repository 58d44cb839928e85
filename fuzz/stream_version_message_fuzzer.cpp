#include "fuzz_input.hpp"
#include "sharing/streams/stream_version_message.hpp"

using namespace hibiscusferry;

/** Fuzzes the decoder of datagrams about the versions of streams. A decoded
    message must keep its bounds and be unchanged after encoding and decoding.
 */
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    const result<stream_version_message> decoded =
        decode_stream_message(input_text(data, size));
    if (!decoded)
        return 0;
    const stream_version_message& message = decoded.value();
    using message_kind = stream_version_message::kind;
    require(message.type == message_kind::answer ||
                message.value.has_value() ==
                    (message.type == message_kind::record),
            "a record has a version and a question has none");
    require(!message.value ||
                (message.value->version.size() <= max_stream_version_bytes &&
                 message.value->lifetime.count() >= 0 &&
                 message.value->lifetime <= max_stream_record_lifetime),
            "versions and lifetimes are bounded");
    const std::string bytes = encode_stream_message(message);
    require(is_stream_version_message(bytes),
            "an encoded message is recognised");
    const result<stream_version_message> decoded_again =
        decode_stream_message(bytes);
    require(decoded_again && decoded_again.value().type == message.type &&
                decoded_again.value().key == message.key &&
                decoded_again.value().number == message.number &&
                decoded_again.value().value.has_value() ==
                    message.value.has_value() &&
                (!message.value || (decoded_again.value().value->version ==
                                        message.value->version &&
                                    decoded_again.value().value->lifetime ==
                                        message.value->lifetime)),
            "a message is unchanged after a round trip");
    return 0;
}
