#include "fuzz_input.hpp"
#include "sharing/message/sharing_message.hpp"
#include <cmath>

using namespace hibiscusferry;

/** Fuzzes the decoder of datagrams with loads. A decoded message must hold
    numbers only, and be unchanged after encoding and decoding once more. */
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    const result<sharing_message> decoded =
        decode_message(input_text(data, size));
    if (!decoded)
        return 0;
    const sharing_message& message = decoded.value();
    require(message.load.count > 0, "a message has a part");
    for (const auto& [key, load] : message.load.loads)
        require(std::isfinite(load.requests) && std::isfinite(load.delays_ms),
                "a load is a number");
    for (const replica_position& position : message.positions)
        require(position.age.count() >= 0, "no age is negative");
    const std::string bytes = encode_message(message);
    const result<sharing_message> again = decode_message(bytes);
    require(again && again.value().host == message.host &&
                again.value().number == message.number &&
                again.value().load.loads.size() == message.load.loads.size() &&
                encode_message(again.value()) == bytes,
            "a message is unchanged after a round trip");
    return 0;
}
