#include "fuzz_input.hpp"
#include "settings/settings.hpp"

using namespace hibiscusferry;

/** Fuzzes the parser of process settings. Parsing must return either settings
   or problems, and valid settings must contain all required values. */
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    const process_settings_result parsed =
        read_process_settings(input_text(data, size), "x.toml");
    require(parsed.settings.has_value() == parsed.problems.empty(),
            "parsing returns either settings or problems");
    require(parsed.problems.empty() == to_text(parsed.problems).empty(),
            "the problem text is empty only if there are no problems");
    if (!parsed.settings)
        return 0;
    require(!parsed.settings->host.empty() &&
                !parsed.settings->region.empty() &&
                !parsed.settings->availability_zone.empty() &&
                !parsed.settings->peer_key.empty(),
            "valid settings contain all required values");
    return 0;
}
