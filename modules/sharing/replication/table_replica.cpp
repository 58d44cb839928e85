#include "sharing/replication/table_replica.hpp"

#include <algorithm>
#include <set>

namespace hibiscusferry
{

namespace
{

/** Number of deletions that are retained. A host whose replica predates the
    retained ones receives the whole table. */
constexpr std::size_t max_retained_deletions = 512;

} // namespace

table_replica::table_replica(content_hash hash_function)
    : content_hash_(std::move(hash_function))
{
}

std::uint64_t table_replica::hash_of(const table_row& row) const
{
    return combine_hashes(stable_hash(row.key), content_hash_(row));
}

bool table_replica::put(const table_row& row)
{
    const auto entry = rows_.find(row.key);
    if (entry == rows_.end())
    {
        digest_ += hash_of(row);
        rows_.emplace(row.key, row);
        return true;
    }
    // An update from a relay that lags behind may arrive after a newer one.
    if (row.version <= entry->second.version)
        return false;
    const std::uint64_t old_hash = hash_of(entry->second);
    const std::uint64_t new_hash = hash_of(row);
    if (old_hash == new_hash)
        return false;
    digest_ += new_hash - old_hash;
    entry->second = row;
    return true;
}

bool table_replica::remove(const std::string& key, row_version version)
{
    // Recorded even if the row was never present here, because other hosts may
    // hold it.
    deletions_.emplace(version, key);
    while (deletions_.size() > max_retained_deletions)
    {
        deletions_retained_after_ = deletions_.begin()->first;
        deletions_.erase(deletions_.begin());
    }
    const auto entry = rows_.find(key);
    if (entry == rows_.end() || entry->second.version > version)
        return false;
    digest_ -= hash_of(entry->second);
    rows_.erase(entry);
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
                                         { return !remove(key, all.version); }),
                          changed.deleted.end());
    if (as_of_ == 0)
        deletions_retained_after_ = all.version;
    as_of_ = std::max(as_of_, all.version);
    return changed;
}

table_changes table_replica::apply(const table_changes& changes)
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
        if (remove(key, changes.version))
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

std::optional<table_changes>
table_replica::changes_since(row_version after) const
{
    if (after < deletions_retained_after_)
        return std::nullopt;
    table_changes changes;
    changes.version = as_of_;
    for (const auto& [key, row] : rows_)
    {
        if (row.version > after)
            changes.rows.push_back(row);
    }
    for (auto deletion = deletions_.upper_bound(after);
         deletion != deletions_.end(); ++deletion)
    {
        if (rows_.count(deletion->second) == 0)
            changes.deleted.push_back(deletion->second);
    }
    return changes;
}

table_changes table_replica::snapshot() const
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
