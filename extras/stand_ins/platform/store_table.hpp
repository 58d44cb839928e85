#ifndef HIBISCUSFERRY_EXTRAS_STAND_INS_PLATFORM_STORE_TABLE_HPP
#define HIBISCUSFERRY_EXTRAS_STAND_INS_PLATFORM_STORE_TABLE_HPP

#include "storage/storage.hpp"
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace hibiscusferry::stand_ins
{

/** One change of a row, as the feed tells it. */
struct row_change
{
    table_row row;
    bool is_deletion = false;
};

/** The rows of the stand-in's store with the history of their changes. */
class store_table
{
public:
    commit_receipt commit(const table_transaction& transaction);

    /** The rows of a table in order of key, from one key up to another one,
        at most `limit`. */
    std::vector<table_row> rows(const std::string& table,
                                const std::string& from, const std::string& to,
                                std::size_t limit) const;

    /** The last change of each row of a table after a version, or nothing if
        the history does not go back so far. */
    std::optional<std::vector<row_change>> changes(const std::string& table,
                                                   row_version after) const;

    row_version version() const;

    /** Drops all history. */
    void clear_history();

private:
    memory_table rows_;
    std::deque<row_change> history_;
    /** Changes up to this version are not kept. */
    row_version history_start_ = 0;
    row_version version_ = 0;
};

} // namespace hibiscusferry::stand_ins

#endif
