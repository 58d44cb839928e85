#include "serving/model/prompt_info.hpp"

#include "foundation/foundation.hpp"
#include <algorithm>

namespace hibiscusferry
{

std::uint64_t prompt_info::prefix_hash(std::size_t count) const
{
    std::uint64_t hash = stable_hash(model);
    for (std::size_t index = 0; index < std::min(count, blocks.size()); ++index)
        hash = combine_hashes(hash, stable_hash(blocks[index].id));
    return hash;
}

std::size_t prompt_info::shared_block_count() const
{
    return blocks.empty() ? 0 : blocks.size() - 1;
}

std::string prompt_info::shared_block_ids() const
{
    std::string ids;
    for (std::size_t index = 0; index < shared_block_count(); ++index)
        ids += (index == 0 ? "" : ",") + blocks[index].id;
    return ids;
}

} // namespace hibiscusferry
