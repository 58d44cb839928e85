#include "stand_ins/engine/prefix_cache.hpp"

#include "stand_ins/engine/answer_text.hpp"

namespace hibiscusferry::stand_ins
{

std::size_t prefix_cache::match(const std::vector<std::string>& hashes)
{
    std::size_t matched = 0;
    for (const std::string& hash : hashes)
    {
        const auto found = pieces_.find(hash);
        if (found == pieces_.end())
            break;
        used_.splice(used_.begin(), used_, found->second);
        ++matched;
    }
    return matched;
}

void prefix_cache::store(const std::vector<std::string>& hashes)
{
    for (const std::string& hash : hashes)
    {
        if (holds(hash))
            continue;
        used_.push_front(hash);
        pieces_[hash] = used_.begin();
        changes_.push_back({hash, true});
    }
}

void prefix_cache::shrink_to(std::size_t limit)
{
    while (tokens() > limit)
    {
        changes_.push_back({used_.back(), false});
        pieces_.erase(used_.back());
        used_.pop_back();
    }
}

bool prefix_cache::holds(const std::string& hash) const
{
    return pieces_.count(hash) > 0;
}

std::size_t prefix_cache::tokens() const
{
    return pieces_.size() * cache_piece_tokens;
}

std::vector<cache_change> prefix_cache::take_changes()
{
    std::vector<cache_change> taken;
    taken.swap(changes_);
    return taken;
}

} // namespace hibiscusferry::stand_ins
