#ifndef HIBISCUSFERRY_FOUNDATION_IDENTITY_IDENTIFIER_HPP
#define HIBISCUSFERRY_FOUNDATION_IDENTITY_IDENTIFIER_HPP

#include <cstdint>
#include <random>
#include <string>

namespace hibiscusferry
{

/** Makes identifiers that no two processes will ever make alike: 128 random
    bits as 32 hexadecimal digits.

    Used from one thread. Tests give a seed to get the same identifiers on
    every run.
*/
class identifier_source
{
public:
    /** Seeded from the operating system's entropy. */
    identifier_source();

    /** Seeded for a repeatable sequence. */
    explicit identifier_source(std::uint64_t seed);

    /** The next identifier. */
    std::string next();

private:
    std::mt19937_64 generator_;
};

/** The SHA-256 digest of `text` as 64 hexadecimal digits; workspaces' keys
    and request bodies are kept and compared only in this form. */
std::string sha256_hex(const std::string& text);

} // namespace hibiscusferry

#endif
