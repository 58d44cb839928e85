#ifndef HIBISCUSFERRY_EXTRAS_STAND_INS_PLATFORM_PLATFORM_STAND_IN_HPP
#define HIBISCUSFERRY_EXTRAS_STAND_INS_PLATFORM_PLATFORM_STAND_IN_HPP

#include "stand_ins/support/stand_in_program.hpp"
#include "storage/storage.hpp"
#include <chrono>
#include <cstdint>
#include <deque>
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
    unsigned lose_answers_percent = 0;
    /** Writes that take effect only after delay_writes. */
    unsigned delay_writes_percent = 0;
    std::chrono::milliseconds delay_writes{0};
    /** Requests are read and never answered; nothing is done. */
    bool silent = false;
    /** How far the host list is behind. */
    std::chrono::milliseconds host_list_lag{0};
};

/** The platform's services for tests and the demonstration: table service,
    object store and lagging host list, in memory and with faults.

    docs/INTERFACES.md gives the forms. Besides: PUT /control/hosts sets the
    host list, POST /control/faults the faults (fields left out go back to
    none), GET /control/counts tells reads, writes and conflicts.
*/
class platform_stand_in
{
public:
    explicit platform_stand_in(boost::asio::io_context& context);

    /** Answers one request. */
    void serve(http_exchange& exchange, boost::asio::yield_context yield);

private:
    struct dated_host_list
    {
        time_point since;
        nlohmann::json list;
    };

    void serve_control(http_exchange& exchange,
                       boost::asio::yield_context yield);
    void set_hosts(http_exchange& exchange, boost::asio::yield_context yield);
    void set_faults(http_exchange& exchange, boost::asio::yield_context yield);

    void serve_platform(http_exchange& exchange,
                        boost::asio::yield_context yield);
    void commit(http_exchange& exchange, boost::asio::yield_context yield);
    void read_rows(http_exchange& exchange, boost::asio::yield_context yield);
    void write_object(http_exchange& exchange,
                      boost::asio::yield_context yield);
    void read_object_bytes(http_exchange& exchange,
                           boost::asio::yield_context yield);
    void read_hosts(http_exchange& exchange, boost::asio::yield_context yield);

    /** Whether a fault with this probability happens now. */
    bool happens(unsigned percent);
    /** Delays a write if the faults say so. */
    void delay_write(boost::asio::yield_context yield);

    boost::asio::io_context& context_;
    memory_table table_;
    std::map<std::string, std::string> objects_;
    /** The oldest is the one that readers see. */
    std::deque<dated_host_list> host_lists_;
    std::uint64_t host_list_revision_ = 0;
    platform_faults faults_;
    std::mt19937_64 random_;
    std::uint64_t reads_ = 0;
    std::uint64_t writes_ = 0;
    std::uint64_t conflicts_ = 0;
};

} // namespace hibiscusferry::stand_ins

#endif
