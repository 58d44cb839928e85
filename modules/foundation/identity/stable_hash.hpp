#ifndef HIBISCUSFERRY_FOUNDATION_IDENTITY_STABLE_HASH_HPP
#define HIBISCUSFERRY_FOUNDATION_IDENTITY_STABLE_HASH_HPP

#include <cstdint>
#include <string_view>

namespace hibiscusferry
{

/** Returns a 64-bit hash that is identical on every host and in every version.

    Uses FNV-1a followed by the finalizer of MurmurHash3. Not suitable for
    secrets, as it is not a cryptographic hash.
*/
std::uint64_t stable_hash(std::string_view text);

/** Combines two hashes into one. The result depends on their order. */
std::uint64_t combine_hashes(std::uint64_t first, std::uint64_t second);

/** Returns the weight of a node for a key in rendezvous hashing (Thaler and
    Ravishankar, 1998). The node with the greatest weight is the owner of the
    key. */
std::uint64_t rendezvous_weight(std::uint64_t key_hash,
                                std::uint64_t node_hash);

} // namespace hibiscusferry

#endif
