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

bool table_replica::put(table_row row)
{
    const auto entry = rows_.find(row.key);
    // An update from a relay that lags behind may arrive after a newer one.
    if (entry != rows_.end() && row.version <= entry->second.version)
        return false;
    return set(std::move(row));
}

bool table_replica::set(table_row row)
{
    const std::uint64_t new_hash = hash_of(row);
    const auto entry = rows_.find(row.key);
    std::uint64_t& row_hash = row_hashes_[row.key];
    if (entry == rows_.end())
    {
        digest_ += new_hash;
        row_hash = new_hash;
        std::string key = row.key;
        rows_.emplace(std::move(key), std::move(row));
        return true;
    }
    if (row_hash == new_hash)
        return false;
    digest_ += new_hash - row_hash;
    row_hash = new_hash;
    former_rows_.add(std::move(entry->second));
    entry->second = std::move(row);
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
    digest_ -= row_hashes_[key];
    row_hashes_.erase(key);
    rows_.erase(entry);
    return true;
}

void table_replica::begin_era(const store_position& position)
{
    // Versions of the previous era say nothing about the new one. Rows without
    // a version are replaced by any row, and removed by any deletion.
    for (auto& [key, row] : rows_)
        row.version = 0;
    former_rows_.clear();
    deletions_.clear();
    deletions_retained_after_ = position.version;
    as_of_ = position;
}

table_changes table_replica::replace(table_changes all)
{
    table_changes changed;
    changed.version = all.version;
    changed.era = all.era;
    if (all.era < as_of_.era)
        return changed;
    if (all.era > as_of_.era)
        begin_era(all.position());
    std::set<std::string> present;
    for (table_row& row : all.rows)
    {
        const std::string key = row.key;
        present.insert(key);
        // A change and its reversal may have been read together as no change,
        // so the older version of a row can be the one in force.
        const auto existing = rows_.find(row.key);
        const bool is_newer =
            existing != rows_.end() && existing->second.version > all.version;
        if (!is_newer && set(std::move(row)))
            changed.rows.push_back(rows_.at(key));
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
    if (as_of_.version == 0)
        deletions_retained_after_ = all.version;
    advance(all.position());
    return changed;
}

table_changes table_replica::apply(table_changes changes)
{
    table_changes changed;
    changed.version = changes.version;
    changed.era = changes.era;
    if (changes.era != as_of_.era)
        return changed;
    for (table_row& row : changes.rows)
    {
        const std::string key = row.key;
        if (put(std::move(row)))
            changed.rows.push_back(rows_.at(key));
    }
    for (const std::string& key : changes.deleted)
    {
        if (remove(key, changes.version))
            changed.deleted.push_back(key);
    }
    advance(changes.position());
    return changed;
}

void table_replica::advance(const store_position& as_of)
{
    as_of_ = std::max(as_of_, as_of);
}

const store_position& table_replica::as_of() const
{
    return as_of_;
}

std::uint64_t table_replica::digest() const
{
    return digest_;
}

std::optional<table_replica::row_selection>
table_replica::select_since(const store_position& after) const
{
    if (after.era != as_of_.era || after.version < deletions_retained_after_)
        return std::nullopt;
    row_selection selection;
    for (const auto& [key, row] : rows_)
    {
        if (row.version > after.version)
            selection.rows.push_back(&row);
    }
    for (auto deletion = deletions_.upper_bound(after.version);
         deletion != deletions_.end(); ++deletion)
    {
        if (rows_.count(deletion->second) == 0)
            selection.deleted.push_back(deletion->second);
    }
    return selection;
}

table_replica::row_selection table_replica::select_all() const
{
    row_selection selection;
    selection.rows.reserve(rows_.size());
    for (const auto& [key, row] : rows_)
        selection.rows.push_back(&row);
    return selection;
}

table_changes table_replica::copy_of(const row_selection& selection) const
{
    table_changes changes;
    changes.version = as_of_.version;
    changes.era = as_of_.era;
    for (const table_row* const row : selection.rows)
        changes.rows.push_back(*row);
    changes.deleted = selection.deleted;
    return changes;
}

std::optional<table_changes>
table_replica::changes_since(const store_position& after) const
{
    const std::optional<row_selection> selection = select_since(after);
    if (!selection)
        return std::nullopt;
    return copy_of(*selection);
}

table_changes table_replica::snapshot() const
{
    return copy_of(select_all());
}

const table_row* table_replica::former_row(const std::string& key,
                                           const store_position& position) const
{
    if (position.era != as_of_.era)
        return nullptr;
    return former_rows_.find(key, position.version);
}

const std::map<std::string, table_row>& table_replica::rows() const
{
    return rows_;
}

} // namespace hibiscusferry
