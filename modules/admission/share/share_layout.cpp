#include "admission/share/share_layout.hpp"

#include <algorithm>
#include <cmath>

namespace hibiscusferry
{

namespace
{

/** The limits of a bucket have the same relays, so that one message can carry
    several limits. */
constexpr std::uint64_t share_buckets = 64;

/** Returns a power of two, so that rows keep most of their members when hosts
    join or leave. */
std::size_t row_count_for(std::size_t hosts)
{
    if (hosts <= share_layout::max_single_row_hosts)
        return 1;
    std::size_t rows = 1;
    while (rows * rows * 2 <= hosts)
        rows *= 2;
    return rows;
}

} // namespace

share_layout::share_layout(std::vector<std::string> hosts,
                           const std::string& own, std::size_t listed_hosts)
{
    if (std::find(hosts.begin(), hosts.end(), own) == hosts.end())
        hosts.push_back(own);
    has_majority_ = 2 * hosts.size() > listed_hosts;

    rows_.resize(row_count_for(hosts.size()));
    for (std::string& id : hosts)
    {
        const std::uint64_t hash = stable_hash(id);
        const std::size_t row = hash % rows_.size();
        if (id == own)
            own_row_ = row;
        rows_[row].push_back({std::move(id), hash});
    }
    for (std::size_t row = 0; row < rows_.size(); ++row)
    {
        if (!rows_[row].empty())
            used_rows_.push_back(row);
    }
}

const std::string& share_layout::relay_of(share_key key) const
{
    return relay_in(own_row_, key);
}

const std::string& share_layout::owner_of(share_key key) const
{
    std::size_t owner_row = used_rows_.front();
    std::uint64_t max_weight = 0;
    for (const std::size_t row : used_rows_)
    {
        const std::uint64_t weight = rendezvous_weight(key, row);
        if (weight > max_weight)
        {
            max_weight = weight;
            owner_row = row;
        }
    }
    return relay_in(owner_row, key);
}

bool share_layout::has_majority() const
{
    return has_majority_;
}

const std::string& share_layout::relay_in(std::size_t row, share_key key) const
{
    const std::uint64_t bucket = key % share_buckets;
    const auto relay =
        std::max_element(rows_[row].begin(), rows_[row].end(),
                         [bucket](const member& left, const member& right)
                         {
                             return rendezvous_weight(bucket, left.hash) <
                                    rendezvous_weight(bucket, right.hash);
                         });
    return relay->id;
}

} // namespace hibiscusferry
