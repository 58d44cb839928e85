#ifndef HIBISCUSFERRY_EXTRAS_STAND_INS_PLATFORM_STORE_TABLE_HPP
#define HIBISCUSFERRY_EXTRAS_STAND_INS_PLATFORM_STORE_TABLE_HPP

#include "storage/storage.hpp"
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace hibiscusferry::stand_ins
{

/** A change of a row as published by the feed. */
struct row_change
{
    table_row row;
    bool is_deletion = false;
};

/** The rows of the simulated store and the history of their changes. */
class store_table
{
public:
    commit_receipt commit(const table_transaction& transaction);

    /** Returns the rows of a table in key order.

        @param from  the first key
        @param to  the key after the last one; empty for no upper bound
        @param limit  the maximum number of rows
    */
    std::vector<table_row> rows(const std::string& table,
                                const std::string& from, const std::string& to,
                                std::size_t limit) const;

    /** Returns the changes of the rows of a table after a version in their
        order, or std::nullopt if the history no longer covers that version. */
    std::optional<std::vector<row_change>> changes(const std::string& table,
                                                   row_version after) const;

    row_version version() const;

    /** Keeps a copy of the rows for restore(). */
    void save();

    /** Returns to the last saved copy, without its history, and enters a new
        era. */
    void restore();

    std::uint64_t era() const;

    /** Discards the change history. */
    void clear_history();

private:
    memory_table rows_;
    memory_table saved_rows_;
    row_version saved_version_ = 0;
    std::deque<row_change> history_;
    /** The history contains only changes after this version. */
    row_version history_start_ = 0;
    row_version version_ = 0;
};

} // namespace hibiscusferry::stand_ins

#endif
