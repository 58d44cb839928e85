#include "sharing/replication/table_replica.hpp"

#include <algorithm>
#include <set>

namespace hibiscusferry
{

namespace
{

/** Dropped rows that are remembered; a reader further behind gets the whole
    table. */
constexpr std::size_t most_dropped = 512;

} // namespace

table_replica::table_replica(content_hash meaning_of)
    : meaning_of_(std::move(meaning_of))
{
}

std::uint64_t table_replica::hash_of(const table_row& row) const
{
    return combine_hashes(stable_hash(row.key), meaning_of_(row));
}

bool table_replica::put(const table_row& row)
{
    const auto known = rows_.find(row.key);
    if (known == rows_.end())
    {
        digest_ += hash_of(row);
        rows_.emplace(row.key, row);
        return true;
    }
    // News of a relay that is behind may come after newer ones.
    if (row.version <= known->second.version)
        return false;
    const std::uint64_t before = hash_of(known->second);
    const std::uint64_t after = hash_of(row);
    if (before == after)
        return false;
    digest_ += after - before;
    known->second = row;
    return true;
}

bool table_replica::drop(const std::string& key, row_version version)
{
    // Also of a row that came and went unseen here: others may have it.
    dropped_.emplace(version, key);
    while (dropped_.size() > most_dropped)
    {
        dropped_known_after_ = dropped_.begin()->first;
        dropped_.erase(dropped_.begin());
    }
    const auto known = rows_.find(key);
    if (known == rows_.end() || known->second.version > version)
        return false;
    digest_ -= hash_of(known->second);
    rows_.erase(known);
    return true;
}

table_changes table_replica::replace(const table_changes& all)
{
    table_changes changed;
    changed.version = all.version;
    std::set<std::string> present;
    for (const table_row& row : all.rows)
    {
        present.insert(row.key);
        if (put(row))
            changed.rows.push_back(row);
    }
    for (const auto& [key, row] : rows_)
    {
        if (present.count(key) == 0)
            changed.deleted.push_back(key);
    }
    changed.deleted.erase(std::remove_if(changed.deleted.begin(),
                                         changed.deleted.end(),
                                         [this, &all](const std::string& key)
                                         { return !drop(key, all.version); }),
                          changed.deleted.end());
    if (as_of_ == 0)
        dropped_known_after_ = all.version;
    as_of_ = std::max(as_of_, all.version);
    return changed;
}

table_changes table_replica::take(const table_changes& changes)
{
    table_changes changed;
    changed.version = changes.version;
    for (const table_row& row : changes.rows)
    {
        if (put(row))
            changed.rows.push_back(row);
    }
    for (const std::string& key : changes.deleted)
    {
        if (drop(key, changes.version))
            changed.deleted.push_back(key);
    }
    advance(changes.version);
    return changed;
}

void table_replica::advance(row_version as_of)
{
    as_of_ = std::max(as_of_, as_of);
}

row_version table_replica::as_of() const
{
    return as_of_;
}

std::uint64_t table_replica::digest() const
{
    return digest_;
}

std::optional<table_changes> table_replica::since(row_version after) const
{
    if (after < dropped_known_after_)
        return std::nullopt;
    table_changes changes;
    changes.version = as_of_;
    for (const auto& [key, row] : rows_)
    {
        if (row.version > after)
            changes.rows.push_back(row);
    }
    for (auto dropped = dropped_.upper_bound(after); dropped != dropped_.end();
         ++dropped)
    {
        if (rows_.count(dropped->second) == 0)
            changes.deleted.push_back(dropped->second);
    }
    return changes;
}

table_changes table_replica::all() const
{
    table_changes changes;
    changes.version = as_of_;
    for (const auto& [key, row] : rows_)
        changes.rows.push_back(row);
    return changes;
}

const std::map<std::string, table_row>& table_replica::rows() const
{
    return rows_;
}

} // namespace hibiscusferry
