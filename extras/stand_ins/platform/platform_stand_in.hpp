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

/** The faults injected into the platform stand-in. */
struct platform_faults
{
    /** "up", "slow", or "down", which responds with status 503 and executes
        nothing. */
    std::string mode = "up";
    /** Delay before each call in mode "slow". */
    std::chrono::milliseconds delay{0};
    /** Percentage of writes that take effect but whose connection is closed
        without a response. */
    unsigned lost_response_percent = 0;
    /** Percentage of writes that take effect only after write_delay. */
    unsigned delayed_write_percent = 0;
    std::chrono::milliseconds write_delay{0};
    /** Requests are received but neither executed nor responded to. */
    bool silent = false;
};

/** An in-memory metadata store with fault injection, for tests and the
    demonstration. It stores the rows of the unnamed part of each table,
    provides the feed of their changes, and stores raw objects.

    POST /control/faults sets the injected faults: omitted fields are reset,
    "forget" clears the change history once, "save" keeps a copy of the rows,
   and "restore" returns to that copy in a new era. GET /control/counts returns
    the number of reads, writes and conflicts.
*/
class platform_stand_in
{
public:
    explicit platform_stand_in(boost::asio::io_context& context);

    /** Serves one request. */
    void serve(http_exchange& exchange, boost::asio::yield_context yield);

private:
    void serve_control(http_exchange& exchange,
                       boost::asio::yield_context yield);
    void set_faults(http_exchange& exchange, boost::asio::yield_context yield);

    void serve_store(http_exchange& exchange, boost::asio::yield_context yield);
    /** Sends a response about rows, with the era of the store. */
    void send_rows(http_exchange& exchange, unsigned status,
                   const nlohmann::json& body,
                   boost::asio::yield_context yield);
    void commit(http_exchange& exchange, boost::asio::yield_context yield);
    void read_rows(http_exchange& exchange, boost::asio::yield_context yield);
    void feed(http_exchange& exchange, boost::asio::yield_context yield);
    void put_blob(http_exchange& exchange, boost::asio::yield_context yield);
    void read_blob(http_exchange& exchange, boost::asio::yield_context yield);
    void delete_blob(http_exchange& exchange, boost::asio::yield_context yield);

    /** Returns a response body with rows, the latest version of the store and
        the current time. */
    nlohmann::json rows_response(nlohmann::json rows) const;
    /** Samples whether to inject a fault with the given probability. */
    bool should_inject(unsigned percent);
    /** Delays a write if the injected faults require it. */
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
