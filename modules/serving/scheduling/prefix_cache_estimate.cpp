#include "serving/scheduling/prefix_cache_estimate.hpp"

namespace hibiscusferry
{

namespace
{

/** Fraction of an engine's memory that holds prefix blocks; running requests
    use the rest. */
constexpr double prefix_memory_fraction = 0.73;

} // namespace

void prefix_cache_estimate::add(const prompt_info& prompt,
                                double kv_capacity_tokens)
{
    for (std::size_t block_count = 1;
         block_count <= prompt.shared_block_count(); ++block_count)
    {
        const std::uint64_t key = prompt.prefix_hash(block_count);
        const auto entry = blocks_.find(key);
        if (entry != blocks_.end())
        {
            lru_keys_.splice(lru_keys_.begin(), lru_keys_,
                             entry->second.position);
            continue;
        }
        lru_keys_.push_front(key);
        const double tokens = prompt.blocks[block_count - 1].tokens;
        blocks_[key] = {tokens, lru_keys_.begin()};
        total_tokens_ += tokens;
    }
    const double capacity_tokens = prefix_memory_fraction * kv_capacity_tokens;
    while (total_tokens_ > capacity_tokens && !lru_keys_.empty())
    {
        const auto oldest = blocks_.find(lru_keys_.back());
        total_tokens_ -= oldest->second.tokens;
        blocks_.erase(oldest);
        lru_keys_.pop_back();
    }
}

double prefix_cache_estimate::cached_tokens(const prompt_info& prompt) const
{
    double tokens = 0;
    for (std::size_t block_count = 1;
         block_count <= prompt.shared_block_count(); ++block_count)
    {
        if (blocks_.find(prompt.prefix_hash(block_count)) == blocks_.end())
            break;
        tokens += prompt.blocks[block_count - 1].tokens;
    }
    return tokens;
}

void prefix_cache_estimate::clear()
{
    total_tokens_ = 0;
    lru_keys_.clear();
    blocks_.clear();
}

} // namespace hibiscusferry
