#ifndef HIBISCUSFERRY_STORAGE_TABLE_STORE_TABLE_FEED_HPP
#define HIBISCUSFERRY_STORAGE_TABLE_STORE_TABLE_FEED_HPP

#include "foundation/foundation.hpp"
#include "storage/errors/platform_error.hpp"
#include "storage/table_store/table_transaction.hpp"
#include <boost/asio/spawn.hpp>
#include <chrono>
#include <string>
#include <vector>

namespace hibiscusferry
{

/** Rows that were written or deleted, in order of version. */
struct table_changes
{
    std::vector<table_row> rows;
    /** Keys of rows that are gone. */
    std::vector<std::string> deleted;
    /** All changes up to this version are included. */
    row_version version = 0;
};

/** The changes of the table service, for those who follow it.

    Called from inside coroutines. A table is the part of a key before its
    first slash.
*/
class table_feed
{
public:
    virtual ~table_feed() = default;

    /** All rows of a table as of one moment. */
    virtual result<table_changes>
    snapshot(const std::string& table, std::chrono::milliseconds time_limit,
             boost::asio::yield_context yield) = 0;

    /** The changes of a table after a version; waits up to `wait` for the
        first one.
        @returns platform_error::history_expired when the store does not have
                 them any more: take a snapshot then */
    virtual result<table_changes> changes(const std::string& table,
                                          row_version after,
                                          std::chrono::milliseconds wait,
                                          std::chrono::milliseconds time_limit,
                                          boost::asio::yield_context yield) = 0;
};

} // namespace hibiscusferry

#endif
