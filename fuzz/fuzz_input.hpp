#ifndef HIBISCUSFERRY_FUZZ_FUZZ_INPUT_HPP
#define HIBISCUSFERRY_FUZZ_FUZZ_INPUT_HPP

#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string>

namespace hibiscusferry
{

/** The bytes that libFuzzer gives, as a text. */
inline std::string input_text(const std::uint8_t* data, std::size_t size)
{
    return {data, data + size};
}

/** Ends the process, which libFuzzer reports with the input, unless the
    property holds.
    @param property  printed when it does not */
inline void require(bool holds, const char* property)
{
    if (holds)
        return;
    std::fprintf(stderr, "property does not hold: %s\n", property);
    std::abort();
}

} // namespace hibiscusferry

#endif
