#include "serving/model/prompt_info.hpp"

#include "foundation/foundation.hpp"
#include <algorithm>

namespace hibiscusferry
{

std::uint64_t prompt_info::prefix_hash(std::size_t count) const
{
    std::uint64_t key = stable_hash(model);
    for (std::size_t at = 0; at < std::min(count, blocks.size()); ++at)
        key = combine_hashes(key, stable_hash(blocks[at].id));
    return key;
}

std::size_t prompt_info::shared_block_count() const
{
    return blocks.empty() ? 0 : blocks.size() - 1;
}

} // namespace hibiscusferry
