#include "foundation/time/hybrid_logical_clock.hpp"
#include "fuzz_input.hpp"

using namespace hibiscusferry;

/** Timestamps as they come in headers: what is read is written and read
    again unchanged. */
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    const result<hybrid_timestamp> read =
        hybrid_timestamp::parse(input_text(data, size));
    if (!read)
        return 0;
    const result<hybrid_timestamp> again =
        hybrid_timestamp::parse(read.value().text());
    require(again && again.value() == read.value(),
            "a timestamp reads back what it wrote");
    return 0;
}
