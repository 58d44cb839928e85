#ifndef HIBISCUSFERRY_FOUNDATION_IDENTITY_STABLE_HASH_HPP
#define HIBISCUSFERRY_FOUNDATION_IDENTITY_STABLE_HASH_HPP

#include <cstdint>
#include <string_view>

namespace hibiscusferry
{

/** A 64-bit hash that is the same on every host and in every version:
    FNV-1a with the finalizer of MurmurHash3. Not for secrets. */
std::uint64_t stable_hash(std::string_view text);

/** Mixes two hashes into one; the order matters. */
std::uint64_t combine_hashes(std::uint64_t first, std::uint64_t second);

/** The weight of `node` for `key` in rendezvous hashing (Thaler and
    Ravishankar, 1998): the node with the greatest weight owns the key. */
std::uint64_t rendezvous_weight(std::uint64_t key_hash,
                                std::uint64_t node_hash);

} // namespace hibiscusferry

#endif
