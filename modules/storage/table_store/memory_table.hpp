#ifndef HIBISCUSFERRY_STORAGE_TABLE_STORE_MEMORY_TABLE_HPP
#define HIBISCUSFERRY_STORAGE_TABLE_STORE_MEMORY_TABLE_HPP

#include "foundation/foundation.hpp"
#include "storage/errors/platform_error.hpp"
#include "storage/table_store/table_transaction.hpp"
#include <map>
#include <string>
#include <vector>

namespace hibiscusferry
{

/** The rows and the commit rule of a table, held in memory.

    The stand-in of the table service serves one over HTTP; tests apply
    transactions to one directly, at the moment and in the order of their
    choice. No I/O, no faults of its own.
*/
class memory_table
{
public:
    /** Applies a transaction if all its conditions hold. */
    commit_receipt commit(const table_transaction& transaction);

    /** The row, or platform_error::not_found. */
    result<table_row> read(const std::string& key) const;

    /** At most `limit` rows with keys that begin with `prefix` and are
        greater than `after`, in order of key. */
    std::vector<table_row> scan(const std::string& prefix,
                                const std::string& after,
                                std::size_t limit) const;

private:
    std::map<std::string, table_row> rows_;
    row_version last_version_ = 0;
};

} // namespace hibiscusferry

#endif
