#include "serving/model/workspace_directory.hpp"

#include "foundation/foundation.hpp"
#include <algorithm>

namespace hibiscusferry
{

std::string workspace_directory::digest_of(std::string_view key)
{
    return sha256_hex(std::string(key));
}

std::size_t workspace_directory::add(workspace entry,
                                     const std::vector<std::string>& keys)
{
    std::vector<std::string> digests;
    digests.reserve(keys.size());
    for (const std::string& key : keys)
        digests.push_back(digest_of(key));
    return add_digests(std::move(entry), digests);
}

std::size_t
workspace_directory::add_digests(workspace entry,
                                 const std::vector<std::string>& digests)
{
    const std::size_t position = workspaces_.size();
    workspaces_.push_back(std::move(entry));
    std::size_t ambiguous_keys = 0;
    for (const std::string& digest : digests)
    {
        const auto [existing, is_new] =
            by_digest_.try_emplace(digest, position);
        if (is_new || existing->second == position)
            continue;
        existing->second.reset();
        ++ambiguous_keys;
    }
    return ambiguous_keys;
}

const workspace* workspace_directory::find(std::string_view key) const
{
    const auto entry = by_digest_.find(digest_of(key));
    if (entry == by_digest_.end() || !entry->second)
        return nullptr;
    return &workspaces_[*entry->second];
}

const std::vector<workspace>& workspace_directory::workspaces() const
{
    return workspaces_;
}

std::size_t workspace_directory::key_count() const
{
    return static_cast<std::size_t>(std::count_if(
        by_digest_.begin(), by_digest_.end(),
        [](const auto& entry) { return entry.second.has_value(); }));
}

} // namespace hibiscusferry
