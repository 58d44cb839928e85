#ifndef HIBISCUSFERRY_STORAGE_TABLE_STORE_TABLE_TRANSACTION_HPP
#define HIBISCUSFERRY_STORAGE_TABLE_STORE_TABLE_TRANSACTION_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hibiscusferry
{

/** The version of a row: the commit sequence number of the table at the last
    write of the row. Within one era of the store, versions increase over the
    whole table and are never reused, even if a row is deleted and inserted
    again. */
using row_version = std::uint64_t;

/** A point in the history of the store.

    A store that is restored from an older copy loses its latest commits, and
    assigns their versions again. The era counts such restores, so that
    positions of different eras are never compared by version alone. */
struct store_position
{
    std::uint64_t era = 0;
    row_version version = 0;
};

constexpr bool operator==(const store_position& left,
                          const store_position& right)
{
    return left.era == right.era && left.version == right.version;
}

constexpr bool operator!=(const store_position& left,
                          const store_position& right)
{
    return !(left == right);
}

constexpr bool operator<(const store_position& left,
                         const store_position& right)
{
    return left.era != right.era ? left.era < right.era
                                 : left.version < right.version;
}

/** A row of a table. Values are opaque strings of at most 256 KiB. */
struct table_row
{
    std::string key;
    std::string value;
    row_version version = 0;
    /** The era to which the version belongs. */
    std::uint64_t era = 0;
};

/** A precondition on a row for committing a transaction. */
struct row_condition
{
    std::string key;
    /** The required version of the row; none if the row must not exist. */
    std::optional<row_version> version;
};

/** A write or deletion of a row. */
struct row_write
{
    std::string key;
    /** The new value; none to delete the row. */
    std::optional<std::string> value;
};

/** Writes that are applied atomically if all conditions hold. */
struct table_transaction
{
    /** Unique to the transaction, so that its effect can be recognized if the
        response is lost. */
    std::string write_id;
    std::vector<row_condition> conditions;
    std::vector<row_write> writes;
};

/** The result of a transaction. */
struct commit_receipt
{
    bool committed = false;
    /** The version of all written rows; set if committed. */
    row_version version = 0;
    /** The current state of the rows whose conditions failed; a row that does
        not exist has version 0. Set if not committed. */
    std::vector<table_row> conflicts;
    /** The era of the store that responded. */
    std::uint64_t era = 0;
};

} // namespace hibiscusferry

#endif
