#ifndef HIBISCUSFERRY_SHARING_REPLICATION_TABLE_REPLICA_HPP
#define HIBISCUSFERRY_SHARING_REPLICATION_TABLE_REPLICA_HPP

#include "foundation/foundation.hpp"
#include "sharing/replication/former_rows.hpp"
#include "storage/storage.hpp"
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace hibiscusferry
{

/** A local replica of a stored table, from which updates for other hosts are
    derived.

    Targets rewrite their rows with every heartbeat. A row whose content hash
    stays the same counts as unchanged, so that only real changes are
    propagated.
*/
class table_replica
{
public:
    /** Hashes the relevant content of a row, without heartbeat fields. */
    using content_hash = std::function<std::uint64_t(const table_row&)>;

    explicit table_replica(content_hash hash_function);

    /** Replaces the content by all rows as of `all.position()`. Rows that are
        newer than this position are kept, unless they are of an older era. A
        position of an older era has no effect.
        @returns the rows whose content changed, and the deleted rows */
    table_changes replace(table_changes all);

    /** Applies the changes that follow as_of(). Has no effect if they are of
        another era.
        @returns the rows whose content changed, and the deleted rows */
    table_changes apply(table_changes changes);

    /** Records that there were no changes up to a later position. */
    void advance(const store_position& as_of);

    /** The position of the store that the rows correspond to; version 0 if the
        table was never read. */
    const store_position& as_of() const;

    /** A hash of the keys and contents of all rows. If a row changes and then
        reverts, hosts that read the store at different times may have seen
        different versions of it; only equal digests show that two replicas
        agree. */
    std::uint64_t digest() const;

    /** The changes after a position; none if they are no longer retained or the
        position is of another era, in which case the whole table has to be
        sent. */
    std::optional<table_changes>
    changes_since(const store_position& after) const;

    /** The whole table. */
    table_changes snapshot() const;

    /** What changes_since() returns, without copies of the rows, which are
       valid until the replica changes. */
    struct row_selection
    {
        std::vector<const table_row*> rows;
        std::vector<std::string> deleted;
    };

    std::optional<row_selection>
    select_since(const store_position& after) const;

    /** All rows. */
    row_selection select_all() const;

    /** The value of a large row that a replica has which includes all changes
        up to a position; null if it is not retained or has not changed. */
    const table_row* former_row(const std::string& key,
                                const store_position& position) const;

    const std::map<std::string, table_row>& rows() const;

private:
    bool put(table_row row);
    bool set(table_row row);
    bool remove(const std::string& key, row_version version);
    void begin_era(const store_position& position);
    table_changes copy_of(const row_selection& selection) const;
    std::uint64_t hash_of(const table_row& row) const;

    content_hash content_hash_;
    /** Rows by key, each with the version at which its content last changed. */
    std::map<std::string, table_row> rows_;
    /** The hash of each row, by its key. */
    std::map<std::string, std::uint64_t> row_hashes_;
    former_rows former_rows_;
    /** Keys of deleted rows, by the version at which the deletion was seen. */
    std::multimap<row_version, std::string> deletions_;
    /** Deletions at or before this version are no longer retained. */
    row_version deletions_retained_after_ = 0;
    store_position as_of_;
    /** The sum of the hashes of all rows. */
    std::uint64_t digest_ = 0;
};

} // namespace hibiscusferry

#endif
