#ifndef HIBISCUSFERRY_FOUNDATION_IDENTITY_IDENTIFIER_HPP
#define HIBISCUSFERRY_FOUNDATION_IDENTITY_IDENTIFIER_HPP

#include <cstdint>
#include <random>
#include <string>

namespace hibiscusferry
{

/** Generates unique identifiers: 128 random bits as 32 hexadecimal digits.

    Collisions between processes are negligibly unlikely. Tests pass a seed to
    get the same identifiers in every run. Not thread-safe.
*/
class identifier_source
{
public:
    /** Seeds the generator from the operating system's entropy source. */
    identifier_source();

    /** Seeds the generator with a fixed value, for a repeatable sequence. */
    explicit identifier_source(std::uint64_t seed);

    /** Returns a new identifier. */
    std::string next();

private:
    std::mt19937_64 generator_;
};

/** Returns the SHA-256 digest of `text` as 64 lower-case hexadecimal digits.

    The keys of workspaces and request bodies are stored and compared only as
    digests.
*/
std::string sha256_hex(const std::string& text);

} // namespace hibiscusferry

#endif
