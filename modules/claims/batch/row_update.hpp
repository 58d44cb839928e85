#ifndef HIBISCUSFERRY_CLAIMS_BATCH_ROW_UPDATE_HPP
#define HIBISCUSFERRY_CLAIMS_BATCH_ROW_UPDATE_HPP

#include "foundation/foundation.hpp"
#include "storage/storage.hpp"
#include <optional>
#include <string>
#include <vector>

namespace hibiscusferry
{

/** A conditional change to one row, committed alone or as part of a batch.
 */
struct row_update
{
    /** Unique id, with which the row's new value is stamped. */
    std::string id;
    std::string key;
    /** The version that the row must have; nullopt if it must be absent. */
    std::optional<row_version> version;
    /** Current value of the row; empty if it is absent. */
    std::string previous;
    /** The new value, stamped (row_stamp) with the id. A batch may stamp it
        with the id followed by '/' and a suffix. */
    std::string value;
    /** Further rows written without conditions in the same transaction. */
    std::vector<row_write> index_writes;
    /** After this time the update is not retried; only its outcome is
        determined. */
    time_point abandon_at = time_point::max();
    /** Whether the same change may be in flight on another path. If so, it
        may be reported as not written only after a tombstone prevents it from
        taking effect. */
    bool may_be_in_flight = false;
};

/** Final result of an update. */
enum class update_result
{
    committed,  ///< has taken effect
    conflicted, ///< the row had another version; never takes effect
    not_written ///< abandoned; never takes effect
};

/** Outcome of an update. */
struct update_outcome
{
    std::string id;
    update_result result = update_result::not_written;
    /** The version written; 0 if another writer has updated the row since. */
    row_version version = 0;
    /** The current row, set on a conflict; its version is 0 if the row is
        absent. */
    table_row present;
};

} // namespace hibiscusferry

#endif
