#ifndef HIBISCUSFERRY_STORAGE_TABLE_STORE_TABLE_TRANSACTION_HPP
#define HIBISCUSFERRY_STORAGE_TABLE_STORE_TABLE_TRANSACTION_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hibiscusferry
{

/** The version of a row: the table's commit sequence number at its last
    write. It grows over the whole table and is never used twice, also not
    when a row is deleted and made again. */
using row_version = std::uint64_t;

/** A row as read. Values are opaque texts of at most 256 KiB. */
struct table_row
{
    std::string key;
    std::string value;
    row_version version = 0;
};

/** What must hold of a row for a transaction to commit. */
struct row_condition
{
    std::string key;
    /** The version that the row must have; none: the row must be absent. */
    std::optional<row_version> version;
};

/** A change of a row. */
struct row_write
{
    std::string key;
    /** The new value; none: the row is deleted. */
    std::optional<std::string> value;
};

/** Writes that take effect together if all conditions hold, or not at all. */
struct table_transaction
{
    /** Unique for this transaction, so that its effect is recognised when
        its answer was lost. */
    std::string write_id;
    std::vector<row_condition> conditions;
    std::vector<row_write> writes;
};

/** The answer to a transaction. */
struct commit_receipt
{
    bool committed = false;
    /** The version of all rows written; set when committed. */
    row_version version = 0;
    /** The present state of the rows whose condition failed; a row that is
        absent has version 0. Set when not committed. */
    std::vector<table_row> conflicts;
};

} // namespace hibiscusferry

#endif
