#ifndef HIBISCUSFERRY_STORAGE_TABLE_STORE_TABLE_FEED_HPP
#define HIBISCUSFERRY_STORAGE_TABLE_STORE_TABLE_FEED_HPP

#include "foundation/foundation.hpp"
#include "http/http.hpp"
#include "storage/errors/platform_error.hpp"
#include "storage/table_store/table_transaction.hpp"
#include <boost/asio/spawn.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace hibiscusferry
{

/** Rows that were written or deleted, in version order. */
struct table_changes
{
    std::vector<table_row> rows;
    /** Keys of deleted rows. */
    std::vector<std::string> deleted;
    /** The version up to which all changes are included. */
    row_version version = 0;
    /** The era to which all versions belong. */
    std::uint64_t era = 0;
    /** Number of rows left out, because their keys cannot be read. */
    std::size_t unreadable = 0;

    store_position position() const
    {
        return {era, version};
    }
};

/** Limits of a read of a table, whose response may be large. */
struct table_read_limits
{
    /** Sets all limits to the same time, and records no progress. */
    table_read_limits(std::chrono::milliseconds timeout)
        : response_timeout(timeout)
        , max_silence(timeout)
        , total_timeout(timeout)
    {
    }

    /** Maximum time until the first bytes of a response, in addition to the
        time that the store is asked to wait. */
    std::chrono::milliseconds response_timeout;
    /** Maximum time from any bytes of a response to the next ones. */
    std::chrono::milliseconds max_silence;
    /** Maximum time for each response, in addition to that wait. */
    std::chrono::milliseconds total_timeout;
    /** Records what arrives; may be null. */
    std::shared_ptr<transfer_progress> progress;
};

/** The change feed of the table service.

    The functions are called from coroutines and suspend them. The table of a
    row is the part of its key before the first slash.
*/
class table_feed
{
public:
    virtual ~table_feed() = default;

    /** Reads a snapshot of all rows of a table. */
    virtual result<table_changes>
    snapshot(const std::string& table, const table_read_limits& limits,
             boost::asio::yield_context yield) = 0;

    /** Reads the changes of a table after a position.
        @param max_wait  how long to wait for the first change
        @returns platform_error::history_expired if the store no longer retains
                 the changes or has entered another era, in which case a new
                 snapshot has to be read */
    virtual result<table_changes> changes(const std::string& table,
                                          const store_position& after,
                                          std::chrono::milliseconds max_wait,
                                          const table_read_limits& limits,
                                          boost::asio::yield_context yield) = 0;

    /** Sends further reads over new connections, as the open ones may have
        become silent. */
    virtual void forget_connections() = 0;
};

} // namespace hibiscusferry

#endif
