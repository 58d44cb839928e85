#ifndef HIBISCUSFERRY_AUTHORITY_STORE_SETTLED_WRITE_HPP
#define HIBISCUSFERRY_AUTHORITY_STORE_SETTLED_WRITE_HPP

#include "foundation/foundation.hpp"
#include "storage/storage.hpp"
#include <chrono>
#include <optional>
#include <string>

namespace hibiscusferry
{

/** The state of a conditional write. */
enum class write_progress
{
    pending,   ///< not settled; it may take effect at any time
    committed, ///< the write took effect
    rejected   ///< the write did not take effect and never will
};

/** A conditional write of one row that is retried until its outcome is certain.

    A write whose response was lost is sent again unchanged. Its condition on
    the row's version allows at most one of the copies to take effect. If an
    earlier copy did, the conflict reported for the retry shows the row with the
    write's own id. The retry therefore both discovers the outcome and
    invalidates any copy that is still in transit.

    The row's value must be a JSON object with the field `write_id`, and the
    transaction must be conditional on the row.
*/
class settled_write
{
public:
    /** @param transaction the transaction to commit
        @param key the row whose value contains the write id
        @param retry_period the delay before a write without a response is sent
            again
    */
    settled_write(table_transaction transaction, std::string key,
                  std::chrono::milliseconds retry_period);

    /** Returns the transaction if it has to be sent now, and marks it as
        sent. */
    std::optional<table_transaction> due(time_point now);

    /** Processes the response to the transaction.

        @returns the state of the write after the response
    */
    write_progress finish(const result<commit_receipt>& response,
                          time_point now);

    write_progress state() const;
    const std::string& write_id() const;

    /** The time at which the first copy was sent. */
    time_point first_sent() const;

    /** The version of the written rows. Valid only in the state `committed`. */
    row_version version() const;

    /** The conflicting row, if the write was rejected because of the row
        `key`. */
    const std::optional<table_row>& conflict() const;

private:
    void settle_conflict(const commit_receipt& receipt);

    table_transaction transaction_;
    std::string key_;
    std::chrono::milliseconds retry_period_;
    write_progress state_ = write_progress::pending;
    bool in_flight_ = false;
    std::optional<time_point> first_sent_;
    time_point next_send_;
    row_version version_ = 0;
    std::optional<table_row> conflict_;
};

} // namespace hibiscusferry

#endif
