#include "serving/model/prefix_index.hpp"

#include <algorithm>
#include <unordered_set>

namespace hibiscusferry
{

namespace
{

bool begins_with(std::string_view text, std::string_view prefix)
{
    return text.substr(0, prefix.size()) == prefix;
}

bool has_lesser_prefix(const route* left, const route* right)
{
    return left->prefix < right->prefix;
}

} // namespace

prefix_index::prefix_index(const std::vector<const route*>& routes)
{
    std::vector<const route*> sorted = routes;
    std::stable_sort(sorted.begin(), sorted.end(), has_lesser_prefix);
    entries_.reserve(sorted.size());
    for (const route* const candidate : sorted)
    {
        if (!entries_.empty() && entries_.back().prefix == candidate->prefix)
            has_equal_prefixes_ = true;
        else
            entries_.push_back({candidate->prefix, candidate, no_entry});
    }
    link_entries();
}

std::optional<prefix_index>
prefix_index::changed(const std::vector<const route*>& removed,
                      std::vector<const route*> added) const
{
    if (has_equal_prefixes_)
        return std::nullopt;
    const std::unordered_set<const route*> removed_routes(removed.begin(),
                                                          removed.end());
    std::sort(added.begin(), added.end(), has_lesser_prefix);
    prefix_index index;
    index.entries_.reserve(entries_.size() + added.size());
    auto next_added = added.begin();
    const auto add_until = [&](const entry* end)
    {
        for (; next_added != added.end() &&
               (end == nullptr || (*next_added)->prefix < end->prefix);
             ++next_added)
            index.entries_.push_back(
                {(*next_added)->prefix, *next_added, no_entry});
    };
    for (const entry& kept : entries_)
    {
        if (removed_routes.count(kept.target) > 0)
            continue;
        add_until(&kept);
        index.entries_.push_back(kept);
    }
    add_until(nullptr);
    const auto equal =
        std::adjacent_find(index.entries_.begin(), index.entries_.end(),
                           [](const entry& left, const entry& right)
                           { return left.prefix == right.prefix; });
    if (equal != index.entries_.end())
        return std::nullopt;
    index.link_entries();
    return index;
}

void prefix_index::link_entries()
{
    std::uint32_t previous = no_entry;
    for (std::uint32_t position = 0; position < entries_.size(); ++position)
    {
        entry& linked = entries_[position];
        std::uint32_t candidate = previous;
        while (candidate != no_entry &&
               !begins_with(linked.prefix, entries_[candidate].prefix))
            candidate = entries_[candidate].shorter;
        linked.shorter = candidate;
        previous = position;
    }
}

const route* prefix_index::find(std::string_view path) const
{
    const auto after =
        std::upper_bound(entries_.begin(), entries_.end(), path,
                         [](std::string_view searched, const entry& candidate)
                         { return searched < candidate.prefix; });
    if (after == entries_.begin())
        return nullptr;
    std::uint32_t position =
        static_cast<std::uint32_t>(after - entries_.begin()) - 1;
    while (position != no_entry &&
           !begins_with(path, entries_[position].prefix))
        position = entries_[position].shorter;
    return position == no_entry ? nullptr : entries_[position].target;
}

bool prefix_index::is_empty() const
{
    return entries_.empty();
}

} // namespace hibiscusferry
