#include "serving/placing/kept_chains.hpp"

namespace hibiscusferry
{

kept_chains::kept_chains(double capacity_tokens)
    : capacity_tokens_(capacity_tokens)
{
}

void kept_chains::add(const prompt& read)
{
    for (std::size_t count = 1; count <= read.shared_parts(); ++count)
    {
        const std::uint64_t key = read.chain_key(count);
        const auto known = parts_.find(key);
        if (known != parts_.end())
        {
            recent_.splice(recent_.begin(), recent_, known->second.place);
            continue;
        }
        recent_.push_front(key);
        const double tokens = read.parts[count - 1].tokens;
        parts_[key] = {tokens, recent_.begin()};
        total_tokens_ += tokens;
    }
    while (total_tokens_ > capacity_tokens_ && !recent_.empty())
    {
        const auto oldest = parts_.find(recent_.back());
        total_tokens_ -= oldest->second.tokens;
        parts_.erase(oldest);
        recent_.pop_back();
    }
}

double kept_chains::kept_tokens(const prompt& wanted) const
{
    double tokens = 0;
    for (std::size_t count = 1; count <= wanted.shared_parts(); ++count)
    {
        if (parts_.find(wanted.chain_key(count)) == parts_.end())
            break;
        tokens += wanted.parts[count - 1].tokens;
    }
    return tokens;
}

void kept_chains::clear()
{
    total_tokens_ = 0;
    recent_.clear();
    parts_.clear();
}

} // namespace hibiscusferry
