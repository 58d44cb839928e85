#include "foundation/identity/identifier.hpp"

#include <array>
#include <cstdio>
#include <openssl/sha.h>

namespace hibiscusferry
{

namespace
{

std::mt19937_64 generator_from_entropy()
{
    std::random_device entropy;
    std::seed_seq seed{entropy(), entropy(), entropy(), entropy(),
                       entropy(), entropy(), entropy(), entropy()};
    return std::mt19937_64(seed);
}

} // namespace

identifier_source::identifier_source()
    : generator_(generator_from_entropy())
{
}

identifier_source::identifier_source(std::uint64_t seed)
    : generator_(seed)
{
}

std::string identifier_source::next()
{
    std::array<char, 33> text{};
    const unsigned long long high = generator_();
    const unsigned long long low = generator_();
    std::snprintf(text.data(), text.size(), "%016llx%016llx", high, low);
    return text.data();
}

std::string sha256_hex(const std::string& text)
{
    static constexpr char digits[] = "0123456789abcdef";
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(),
           digest.data());

    std::string hex;
    hex.reserve(digest.size() * 2);
    for (const unsigned char byte : digest)
    {
        hex.push_back(digits[byte >> 4]);
        hex.push_back(digits[byte & 15]);
    }
    return hex;
}

} // namespace hibiscusferry
