#ifndef HIBISCUSFERRY_GATEWAY_STATE_TABLE_READER_HPP
#define HIBISCUSFERRY_GATEWAY_STATE_TABLE_READER_HPP

#include "process/process.hpp"
#include "storage/storage.hpp"
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hibiscusferry
{

/** What to read of a table. */
struct table_query
{
    std::string table;
    /** The position after which changes are wanted; none for all rows. */
    std::optional<store_position> after;
    /** How long the store waits for the first change. */
    std::chrono::milliseconds wait{0};
};

/** What was read of a table. */
struct table_reading
{
    table_changes changes;
    /** Whether the changes are all rows, because they were asked for or because
        the store no longer retains the changes. */
    bool is_snapshot = false;
    /** When the store was asked. */
    time_point asked_at{};
    /** How long the store was asked to wait for a change. */
    std::chrono::milliseconds wait{0};
    /** Time from the first bytes of the response to the last. */
    std::chrono::milliseconds transfer_duration{0};
};

/** A read that has not been answered in time. */
struct unanswered_read
{
    std::string table;
    /** Time since the read was sent. */
    std::chrono::milliseconds elapsed{0};
    /** Bytes of responses that have arrived all the same. */
    std::size_t received_bytes = 0;
    /** Time from the end of the time limit until this process noticed it. */
    std::chrono::milliseconds loop_delay{0};
    /** How many reads of the table have not been answered. */
    unsigned reads = 0;
};

/** Reads tables of the table service over several connections if need be.

    An open connection may have become silent, which shows only by a response
    that does not arrive. A read that is not answered in time is therefore sent
    once more over a new connection, without a wait, while the former one may
    still be answered. The first response counts. As long as bytes of a
    response arrive, the read is not sent again.
*/
class table_reader
{
public:
    /** Called when a read of a table has not been answered in time. */
    using silence_handler = std::function<void(const unanswered_read& read)>;

    /** The core and the feed must outlive the reader. */
    table_reader(process_core& core, table_feed& feed,
                 silence_handler on_silence);

    /** Reads a table.
        @param response_delay  time without any bytes of a response, in addition
                               to the wait, before the next read is sent
        @returns the error of the last read if all of them failed */
    result<table_reading> read(const table_query& query,
                               std::chrono::milliseconds response_delay,
                               boost::asio::yield_context yield);

    /** Whether a response with rows of a table is arriving.
        @param max_silence  maximum time since the last bytes of it */
    bool is_receiving(const std::string& table,
                      std::chrono::milliseconds max_silence) const;

private:
    /** Reads of which the first response is awaited. */
    struct awaited_reads
    {
        explicit awaited_reads(boost::asio::io_context& context);
        bool is_complete() const;
        /** Whether one of the reads makes progress. */
        bool is_moving(time_point now,
                       std::chrono::milliseconds max_silence) const;

        /** The bytes that all reads have brought. */
        std::size_t received_bytes() const;

        boost::asio::steady_timer timer;
        unsigned pending = 0;
        /** Of each read. */
        std::vector<std::shared_ptr<transfer_progress>> progress;
        /** The first reading, or the last error until there is one. */
        std::optional<result<table_reading>> outcome;
    };

    /** Waits for the timer, and then until the reads are complete or none of
        them makes progress. */
    void wait_for_silence(awaited_reads& reads,
                          std::chrono::milliseconds response_delay,
                          boost::asio::yield_context yield);
    void start(const std::shared_ptr<awaited_reads>& reads,
               const table_query& query);
    result<table_reading> read_once(table_query query,
                                    const table_read_limits& limits,
                                    boost::asio::yield_context yield);

    process_core& core_;
    table_feed& feed_;
    silence_handler on_silence_;
    /** The latest reads of each table. */
    std::map<std::string, std::weak_ptr<awaited_reads>> reads_;
};

} // namespace hibiscusferry

#endif
