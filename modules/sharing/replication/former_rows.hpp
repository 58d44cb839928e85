#ifndef HIBISCUSFERRY_SHARING_REPLICATION_FORMER_ROWS_HPP
#define HIBISCUSFERRY_SHARING_REPLICATION_FORMER_ROWS_HPP

#include "storage/storage.hpp"
#include <cstddef>
#include <deque>
#include <string>

namespace hibiscusferry
{

/** The former values of large rows, which other hosts may still have. */
class former_rows
{
public:
    /** Values of at least this size are retained. */
    static constexpr std::size_t min_value_bytes = 4U << 10;

    /** Adds a row that is being replaced, unless it is small. The oldest ones
        are dropped if there are too many. */
    void add(table_row row);

    /** Returns the value that a row had at a version of its table, or null if
        it is not retained. */
    const table_row* find(const std::string& key, row_version version) const;

    void clear();

private:
    std::deque<table_row> rows_;
    std::size_t bytes_ = 0;
};

} // namespace hibiscusferry

#endif
