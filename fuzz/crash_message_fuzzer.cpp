#include "fuzz_input.hpp"
#include "sharing/crashes/crash_message.hpp"

using namespace hibiscusferry;

/** Fuzzes the decoder of datagrams about crashes of targets. A decoded message
    must keep its bounds and be unchanged after encoding and decoding. */
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    const time_point now{std::chrono::hours(1000)};
    const result<crash_message> decoded =
        decode_crash_message(input_text(data, size), now);
    if (!decoded)
        return 0;
    const crash_message& message = decoded.value();
    require(message.records.size() <= crash_message::max_inputs,
            "the number of blocks is bounded");
    for (const auto& [block, record] : message.records)
        require(record.crashes.size() <= input_record::max_crashes,
                "the number of crashes is bounded");
    const std::string bytes = encode_crash_message(message, now);
    require(is_crash_message(bytes), "an encoded message is recognised");
    const result<crash_message> again = decode_crash_message(bytes, now);
    require(again && again.value().type == message.type &&
                again.value().digest == message.digest &&
                again.value().records.size() == message.records.size() &&
                encode_crash_message(again.value(), now) == bytes,
            "a message is unchanged after a round trip");
    return 0;
}
