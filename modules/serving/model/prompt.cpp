#include "serving/model/prompt.hpp"

#include "foundation/foundation.hpp"
#include <algorithm>

namespace hibiscusferry
{

std::uint64_t prompt::chain_key(std::size_t count) const
{
    std::uint64_t key = stable_hash(model);
    for (std::size_t at = 0; at < std::min(count, parts.size()); ++at)
        key = combine_hashes(key, stable_hash(parts[at].id));
    return key;
}

std::size_t prompt::shared_parts() const
{
    return parts.empty() ? 0 : parts.size() - 1;
}

} // namespace hibiscusferry
