#ifndef HIBISCUSFERRY_AUTHORITY_STORE_SETTLED_WRITE_HPP
#define HIBISCUSFERRY_AUTHORITY_STORE_SETTLED_WRITE_HPP

#include "foundation/foundation.hpp"
#include "storage/storage.hpp"
#include <chrono>
#include <optional>
#include <string>

namespace hibiscusferry
{

/** How a write stands. */
enum class write_progress
{
    open,      ///< sent or to be sent; it may take effect at any time
    committed, ///< it took effect
    rejected   ///< it did not, and never will
};

/** A conditional write of a row, carried on until its outcome is certain.

    A write whose answer was lost is sent again unchanged. Its condition on
    the row's version lets at most one of the copies take effect, and when an
    earlier one has, the conflict shows the row with the write's own id. So
    the repetition is the read-back and bars the late copy at the same time.

    The row's value must be a JSON object with the field `write_id`, and the
    transaction must be conditional on the row.
*/
class settled_write
{
public:
    /** @param key  the row whose value shows the write id
        @param retry_period  the time before a lost write is sent again */
    settled_write(table_transaction transaction, std::string key,
                  std::chrono::milliseconds retry_period);

    /** The transaction when it is to be sent now; marks it as sent. */
    std::optional<table_transaction> due(time_point now);

    /** Takes the answer to the transaction into account. */
    write_progress finish(const result<commit_receipt>& answer, time_point now);

    write_progress state() const;
    const std::string& write_id() const;

    /** When the first copy was sent. */
    time_point first_sent() const;

    /** The version of the rows written; valid when committed. */
    row_version version() const;

    /** The row that stood in the way, when rejected because of `key`. */
    const std::optional<table_row>& conflict() const;

private:
    void settle_conflict(const commit_receipt& receipt);

    table_transaction transaction_;
    std::string key_;
    std::chrono::milliseconds retry_period_;
    write_progress state_ = write_progress::open;
    bool in_flight_ = false;
    std::optional<time_point> first_sent_;
    time_point next_send_;
    row_version version_ = 0;
    std::optional<table_row> conflict_;
};

} // namespace hibiscusferry

#endif
