#ifndef HIBISCUSFERRY_SHARING_REPLICATION_TABLE_REPLICA_HPP
#define HIBISCUSFERRY_SHARING_REPLICATION_TABLE_REPLICA_HPP

#include "foundation/foundation.hpp"
#include "storage/storage.hpp"
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace hibiscusferry
{

/** A host's copy of a table, in the form in which it is told to others.

    Targets write their rows with every heartbeat. A row whose meaning stays
    the same counts as unchanged, so that only news are passed on.
*/
class table_replica
{
public:
    /** A hash of what a row means. */
    using content_hash = std::function<std::uint64_t(const table_row&)>;

    explicit table_replica(content_hash meaning_of);

    /** Takes all rows as of `all.version`.
        @returns what changed in meaning */
    table_changes replace(const table_changes& all);

    /** Takes the changes that follow as_of().
        @returns what changed in meaning */
    table_changes take(const table_changes& changes);

    /** The rows are current up to a later version: nothing changed. */
    void advance(row_version as_of);

    /** The rows are those of this version of the store; 0 if never read. */
    row_version as_of() const;

    /** A hash of all rows and what they mean. Hosts that read the store at
        different times may have seen different changes of a row that came
        back to what it was; only equal digests say that they agree. */
    std::uint64_t digest() const;

    /** What changed after a version, or nothing if it is not known so far
        back; then the whole table is told. */
    std::optional<table_changes> since(row_version after) const;

    /** The whole table. */
    table_changes all() const;

    const std::map<std::string, table_row>& rows() const;

private:
    bool put(const table_row& row);
    bool drop(const std::string& key, row_version version);
    std::uint64_t hash_of(const table_row& row) const;

    content_hash meaning_of_;
    /** Each with the version at which its meaning changed. */
    std::map<std::string, table_row> rows_;
    /** Rows that are gone, by the version that showed it. */
    std::multimap<row_version, std::string> dropped_;
    /** Rows dropped at or before this version are forgotten. */
    row_version dropped_known_after_ = 0;
    row_version as_of_ = 0;
    /** The sum of the rows' hashes. */
    std::uint64_t digest_ = 0;
};

} // namespace hibiscusferry

#endif
