#ifndef HIBISCUSFERRY_EXTRAS_STAND_INS_APPLICATION_APPLICATION_STAND_IN_HPP
#define HIBISCUSFERRY_EXTRAS_STAND_INS_APPLICATION_APPLICATION_STAND_IN_HPP

#include "stand_ins/support/silent_connections.hpp"
#include "stand_ins/support/stand_in_program.hpp"
#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace hibiscusferry::stand_ins
{

/** What goes wrong on purpose. */
struct application_faults
{
    /** How many requests are affected; 0 for all from now on. */
    unsigned times = 0;
    /** Added before the run. */
    std::chrono::milliseconds run_delay{0};
    /** Added between the run and its answer. */
    std::chrono::milliseconds response_delay{0};
    bool disconnect_before_run = false;
    bool disconnect_after_run = false;
    bool hang_after_run = false;
    /** Answers carry the attempt id of another request. */
    bool swap_attempt_ids = false;
    /** Refuses as leaving, not run. */
    bool draining = false;
    /** Refuses as overloaded, not run. */
    bool refuse = false;
};

/** An application server that counts each run.

    `POST /orders...` and `POST /lodgements...` run and are confirmed with a
    number; `GET /stock/...`, `/routes/...` and `/status/...` are idempotent.
    A key that comes twice runs twice: whoever calls is responsible. The
    status path is `/outcomes/KEY`. Besides: POST /control/faults sets the
    faults (fields left out go back to none; `"silent":true` silences the
    connections open now), GET /control/counts lists the runs of each key.
*/
class application_stand_in
{
public:
    /** @param run_time  how long a run takes */
    application_stand_in(boost::asio::io_context& context,
                         std::chrono::milliseconds run_time);

    /** Answers one request. */
    void serve(http_exchange& exchange, boost::asio::yield_context yield);

    /** Refuses new work from now on. */
    void start_draining();

private:
    enum class run_state
    {
        running,
        done
    };

    /** The last run of a key. */
    struct keyed_run
    {
        run_state state = run_state::running;
        unsigned runs = 0;
        std::string body;
    };

    void serve_control(http_exchange& exchange,
                       boost::asio::yield_context yield);
    void set_faults(http_exchange& exchange, boost::asio::yield_context yield);
    void respond_with_counts(http_exchange& exchange,
                             boost::asio::yield_context yield);
    void respond_with_load(http_exchange& exchange,
                           boost::asio::yield_context yield);
    void respond_with_outcome(http_exchange& exchange,
                              boost::asio::yield_context yield);

    void serve_work(http_exchange& exchange, boost::asio::yield_context yield);
    /** Runs a request and makes its answer. */
    http_response run(const http_request& request,
                      boost::asio::yield_context yield);
    http_response handle_lookup(const http_request& request);
    /** The faults that the next request meets. */
    application_faults consume_faults();
    /** The attempt id to answer with. */
    std::string attempt_id(const http_request& request,
                           const application_faults& faults);

    boost::asio::io_context& context_;
    std::chrono::milliseconds run_time_;
    application_faults faults_;
    silent_connections connections_;
    std::map<std::string, keyed_run> runs_;
    /** Keys whose absence was told: they never run. */
    std::set<std::string> blocked_keys_;
    std::string last_attempt_id_;
    std::uint64_t confirmations_ = 0;
    std::uint64_t lookups_ = 0;
    std::uint64_t refusals_ = 0;
    unsigned active_ = 0;
    bool is_draining_ = false;
};

} // namespace hibiscusferry::stand_ins

#endif
