#include "fuzz_input.hpp"
#include "settings/settings.hpp"

using namespace hibiscusferry;

/** Settings of a daemon: a text gives either settings or problems. */
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    const process_settings_result reading =
        read_process_settings(input_text(data, size), "x.toml");
    require(reading.settings.has_value() == reading.problems.empty(),
            "a text gives either settings or problems");
    require(reading.problems.empty() == to_text(reading.problems).empty(),
            "problems have a text");
    if (!reading.settings)
        return 0;
    require(!reading.settings->host.empty() &&
                !reading.settings->region.empty() &&
                !reading.settings->availability_zone.empty() &&
                !reading.settings->peer_key.empty(),
            "required settings are there");
    return 0;
}
