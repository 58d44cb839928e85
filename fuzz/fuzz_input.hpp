#ifndef HIBISCUSFERRY_FUZZ_FUZZ_INPUT_HPP
#define HIBISCUSFERRY_FUZZ_FUZZ_INPUT_HPP

#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string>

namespace hibiscusferry
{

/** Converts the input buffer of libFuzzer to a string. */
inline std::string input_text(const std::uint8_t* data, std::size_t size)
{
    return {data, data + size};
}

/** Aborts the process if a property does not hold, so that libFuzzer reports
   the input.
    @param holds  whether the property holds
    @param property  the description printed on failure */
inline void require(bool holds, const char* property)
{
    if (holds)
        return;
    std::fprintf(stderr, "property does not hold: %s\n", property);
    std::abort();
}

} // namespace hibiscusferry

#endif
