#include "stand_ins/engine/prefix_cache.hpp"

#include "stand_ins/engine/completion_text.hpp"

namespace hibiscusferry::stand_ins
{

std::size_t prefix_cache::match(const std::vector<std::string>& hashes)
{
    std::size_t matched = 0;
    for (const std::string& hash : hashes)
    {
        const auto block = blocks_.find(hash);
        if (block == blocks_.end())
            break;
        recency_.splice(recency_.begin(), recency_, block->second);
        ++matched;
    }
    return matched;
}

void prefix_cache::store(const std::vector<std::string>& hashes)
{
    for (const std::string& hash : hashes)
    {
        if (contains(hash))
            continue;
        recency_.push_front(hash);
        blocks_[hash] = recency_.begin();
        changes_.push_back({hash, true});
    }
}

void prefix_cache::shrink_to(std::size_t max_tokens)
{
    while (tokens() > max_tokens)
    {
        changes_.push_back({recency_.back(), false});
        blocks_.erase(recency_.back());
        recency_.pop_back();
    }
}

bool prefix_cache::contains(const std::string& hash) const
{
    return blocks_.count(hash) > 0;
}

std::size_t prefix_cache::tokens() const
{
    return blocks_.size() * cache_block_tokens;
}

std::vector<cache_change> prefix_cache::take_changes()
{
    std::vector<cache_change> changes;
    changes.swap(changes_);
    return changes;
}

} // namespace hibiscusferry::stand_ins
