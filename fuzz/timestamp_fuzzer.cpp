#include "foundation/time/hybrid_logical_clock.hpp"
#include "fuzz_input.hpp"

using namespace hibiscusferry;

/** Fuzzes the parser of timestamps in headers. A parsed timestamp must be
    unchanged after serialization and parsing. */
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    const result<hybrid_timestamp> parsed =
        hybrid_timestamp::parse(input_text(data, size));
    if (!parsed)
        return 0;
    const result<hybrid_timestamp> reparsed =
        hybrid_timestamp::parse(parsed.value().text());
    require(reparsed && reparsed.value() == parsed.value(),
            "a timestamp is unchanged after a round trip");
    return 0;
}
