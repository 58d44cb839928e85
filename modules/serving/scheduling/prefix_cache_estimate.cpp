#include "serving/scheduling/prefix_cache_estimate.hpp"

namespace hibiscusferry
{

prefix_cache_estimate::prefix_cache_estimate(double capacity_tokens)
    : capacity_tokens_(capacity_tokens)
{
}

void prefix_cache_estimate::add(const prompt_info& read)
{
    for (std::size_t count = 1; count <= read.shared_block_count(); ++count)
    {
        const std::uint64_t key = read.prefix_hash(count);
        const auto known = blocks_.find(key);
        if (known != blocks_.end())
        {
            recent_.splice(recent_.begin(), recent_, known->second.place);
            continue;
        }
        recent_.push_front(key);
        const double tokens = read.blocks[count - 1].tokens;
        blocks_[key] = {tokens, recent_.begin()};
        total_tokens_ += tokens;
    }
    while (total_tokens_ > capacity_tokens_ && !recent_.empty())
    {
        const auto oldest = blocks_.find(recent_.back());
        total_tokens_ -= oldest->second.tokens;
        blocks_.erase(oldest);
        recent_.pop_back();
    }
}

double prefix_cache_estimate::cached_tokens(const prompt_info& prompt) const
{
    double tokens = 0;
    for (std::size_t count = 1; count <= prompt.shared_block_count(); ++count)
    {
        if (blocks_.find(prompt.prefix_hash(count)) == blocks_.end())
            break;
        tokens += prompt.blocks[count - 1].tokens;
    }
    return tokens;
}

void prefix_cache_estimate::clear()
{
    total_tokens_ = 0;
    recent_.clear();
    blocks_.clear();
}

} // namespace hibiscusferry
