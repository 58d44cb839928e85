#include "foundation/identity/stable_hash.hpp"

namespace hibiscusferry
{

namespace
{

std::uint64_t finalize(std::uint64_t hash)
{
    hash ^= hash >> 33;
    hash *= 0xff51afd7ed558ccdULL;
    hash ^= hash >> 33;
    hash *= 0xc4ceb9fe1a85ec53ULL;
    hash ^= hash >> 33;
    return hash;
}

} // namespace

std::uint64_t stable_hash(std::string_view text)
{
    std::uint64_t hash = 0xcbf29ce484222325ULL;
    for (const char character : text)
    {
        hash ^= static_cast<unsigned char>(character);
        hash *= 0x100000001b3ULL;
    }
    return finalize(hash);
}

std::uint64_t combine_hashes(std::uint64_t first, std::uint64_t second)
{
    return finalize(first * 0x9e3779b97f4a7c15ULL + second);
}

std::uint64_t rendezvous_weight(std::uint64_t key_hash, std::uint64_t node_hash)
{
    return combine_hashes(key_hash, node_hash);
}

} // namespace hibiscusferry
