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

/** The faults injected into the application stand-in. */
struct application_faults
{
    /** The number of requests affected; 0 affects all further requests. */
    unsigned affected_requests = 0;
    /** Delay before a request is executed. */
    std::chrono::milliseconds run_delay{0};
    /** Delay between the execution of a request and its response. */
    std::chrono::milliseconds response_delay{0};
    bool disconnect_before_run = false;
    bool disconnect_after_run = false;
    bool hang_after_run = false;
    /** Responses carry the attempt id of another request. */
    bool swap_attempt_ids = false;
    /** Refuses requests with the code "leaving" without executing them. */
    bool draining = false;
    /** Refuses requests with the code "overloaded" without executing them. */
    bool refuse = false;
};

/** A simulated application server that counts how often it executes each
    idempotency key.

    `POST /orders...` and `POST /lodgements...` are executed and return a
    confirmation number; `GET /stock/...`, `/routes/...` and `/status/...` are
    idempotent. A key that is received twice is executed twice: preventing
    duplicates is the caller's responsibility. `/outcomes/KEY` reports the
    outcome of a key.

    POST /control/faults sets the injected faults. Omitted fields are reset,
    and `"silent":true` makes all open connections unresponsive.
    GET /control/counts lists the number of executions of each key.
*/
class application_stand_in
{
public:
    /** @param run_time  the time that the execution of a request takes */
    application_stand_in(boost::asio::io_context& context,
                         std::chrono::milliseconds run_time);

    /** Serves one request. */
    void serve(http_exchange& exchange, boost::asio::yield_context yield);

    /** Refuses all further requests. */
    void start_draining();

private:
    enum class run_state
    {
        running,
        done
    };

    /** The latest execution of an idempotency key. */
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
    /** Executes a request and returns its response. */
    http_response run(const http_request& request,
                      boost::asio::yield_context yield);
    http_response handle_lookup(const http_request& request);
    /** Returns the faults for the next request and counts the request
        against the number of affected requests. */
    application_faults consume_faults();
    /** Returns the attempt id to send in the response. */
    std::string attempt_id(const http_request& request,
                           const application_faults& faults);

    boost::asio::io_context& context_;
    std::chrono::milliseconds run_time_;
    application_faults faults_;
    silent_connections connections_;
    std::map<std::string, keyed_run> runs_;
    /** Keys that were reported as absent and must never be executed. */
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
