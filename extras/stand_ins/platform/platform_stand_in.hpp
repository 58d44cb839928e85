#ifndef HIBISCUSFERRY_EXTRAS_STAND_INS_PLATFORM_PLATFORM_STAND_IN_HPP
#define HIBISCUSFERRY_EXTRAS_STAND_INS_PLATFORM_PLATFORM_STAND_IN_HPP

#include "stand_ins/platform/store_table.hpp"
#include "stand_ins/support/stand_in_program.hpp"
#include <chrono>
#include <cstdint>
#include <map>
#include <random>
#include <string>

namespace hibiscusferry::stand_ins
{

/** What goes wrong on purpose. */
struct platform_faults
{
    /** "up", "down" (answers 503, nothing done) or "slow". */
    std::string mode = "up";
    /** Added before each call while slow. */
    std::chrono::milliseconds delay{0};
    /** Writes that take effect and whose connection is then cut. */
    unsigned lost_response_percent = 0;
    /** Writes that take effect only after write_delay. */
    unsigned delayed_write_percent = 0;
    std::chrono::milliseconds write_delay{0};
    /** Requests are read and never answered; nothing is done. */
    bool silent = false;
};

/** The users' metadata store for tests and the demonstration, in memory and
    with faults: rows in the unnamed part of their tables, the feed of their
    changes, and raw objects.

    Besides: POST /control/faults sets the faults (fields left out go back to
    none; "forget" drops the history once), GET /control/counts tells reads,
    writes and conflicts.
*/
class platform_stand_in
{
public:
    explicit platform_stand_in(boost::asio::io_context& context);

    /** Answers one request. */
    void serve(http_exchange& exchange, boost::asio::yield_context yield);

private:
    void serve_control(http_exchange& exchange,
                       boost::asio::yield_context yield);
    void set_faults(http_exchange& exchange, boost::asio::yield_context yield);

    void serve_store(http_exchange& exchange, boost::asio::yield_context yield);
    void commit(http_exchange& exchange, boost::asio::yield_context yield);
    void read_rows(http_exchange& exchange, boost::asio::yield_context yield);
    void feed(http_exchange& exchange, boost::asio::yield_context yield);
    void put_blob(http_exchange& exchange, boost::asio::yield_context yield);
    void read_blob(http_exchange& exchange, boost::asio::yield_context yield);
    void delete_blob(http_exchange& exchange, boost::asio::yield_context yield);

    /** An answer about rows: with the newest version and the time. */
    nlohmann::json rows_response(nlohmann::json rows) const;
    /** Whether a fault with this probability happens now. */
    bool should_inject(unsigned percent);
    /** Delays a write if the faults say so. */
    void delay_write(boost::asio::yield_context yield);

    boost::asio::io_context& context_;
    store_table table_;
    std::map<std::string, std::string> blobs_;
    platform_faults faults_;
    std::mt19937_64 random_;
    std::uint64_t reads_ = 0;
    std::uint64_t writes_ = 0;
    std::uint64_t conflicts_ = 0;
};

} // namespace hibiscusferry::stand_ins

#endif
