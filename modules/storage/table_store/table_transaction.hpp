#ifndef HIBISCUSFERRY_STORAGE_TABLE_STORE_TABLE_TRANSACTION_HPP
#define HIBISCUSFERRY_STORAGE_TABLE_STORE_TABLE_TRANSACTION_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hibiscusferry
{

/** The version of a row: the commit sequence number of the table at the last
    write of the row. Versions increase over the whole table and are never
    reused, even if a row is deleted and inserted again. */
using row_version = std::uint64_t;

/** A row of a table. Values are opaque strings of at most 256 KiB. */
struct table_row
{
    std::string key;
    std::string value;
    row_version version = 0;
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
};

} // namespace hibiscusferry

#endif
