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

/** An in-memory table that commits transactions like the table service.

    The stand-in for the table service exposes one over HTTP, while tests apply
    transactions directly, at any time and in any order. It performs no I/O and
    injects no faults.
*/
class memory_table
{
public:
    /** Commits a transaction if all its conditions hold. */
    commit_receipt commit(const table_transaction& transaction);

    /** Reads a row.
        @returns platform_error::not_found if the row does not exist */
    result<table_row> read(const std::string& key) const;

    /** Reads, in key order, at most `limit` rows whose keys begin with `prefix`
        and are greater than `after`. */
    std::vector<table_row> scan(const std::string& prefix,
                                const std::string& after,
                                std::size_t limit) const;

    /** Returns to the content of an older copy and enters a new era, in which
        the versions after the copy are assigned again. */
    void restore(const memory_table& copy);

    std::uint64_t era() const;

private:
    std::uint64_t era_ = 0;
    std::map<std::string, table_row> rows_;
    row_version last_version_ = 0;
};

} // namespace hibiscusferry

#endif
