#ifndef HIBISCUSFERRY_CLAIMS_BATCH_ROW_UPDATE_HPP
#define HIBISCUSFERRY_CLAIMS_BATCH_ROW_UPDATE_HPP

#include "foundation/foundation.hpp"
#include "storage/storage.hpp"
#include <optional>
#include <string>
#include <vector>

namespace hibiscusferry
{

/** One conditional change of one row, to be committed alone or in a group
    with others. */
struct row_update
{
    /** Unique; the row's new value is stamped with it. */
    std::string id;
    std::string key;
    /** The version that the row must have; none: it must be absent. */
    std::optional<row_version> version;
    /** The row's present value; empty when it is absent. */
    std::string previous;
    /** The new value, stamped (row_stamp) with the id; or, as a batch may
        write it, with the id followed by '/' and more. */
    std::string value;
    /** Rows that take effect together with the change, unconditionally. */
    std::vector<row_write> index_writes;
    /** From then on the update is no longer tried, only settled. */
    time_point abandon_at = time_point::max();
    /** Whether the same change may be under way by another path, so that it
        may only be called not written when a tombstone stops it. */
    bool may_be_under_way = false;
};

/** How an update ended; certain in every case. */
enum class update_result
{
    committed,  ///< has taken effect
    conflicted, ///< the row was not as it had to be; never takes effect
    not_written ///< given up; never takes effect
};

/** The end of an update. */
struct update_outcome
{
    std::string id;
    update_result result = update_result::not_written;
    /** The version written; 0 when others have written the row since. */
    row_version version = 0;
    /** The row as found; set when conflicted, version 0 when absent. */
    table_row present;
};

} // namespace hibiscusferry

#endif
