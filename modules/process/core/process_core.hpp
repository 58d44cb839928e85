#ifndef HIBISCUSFERRY_PROCESS_CORE_PROCESS_CORE_HPP
#define HIBISCUSFERRY_PROCESS_CORE_PROCESS_CORE_HPP

#include "foundation/foundation.hpp"
#include "http/http.hpp"
#include "settings/settings.hpp"
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <string>

namespace hibiscusferry
{

/** The resources that all services of a daemon share.

    There is one io_context, run by a single thread, on which every service
    does its work. The object is created once in main and outlives all
    services.
*/
class process_core
{
public:
    /** @param role  "router" or "controller" */
    process_core(std::string role, process_settings settings);

    process_core(const process_core&) = delete;
    process_core& operator=(const process_core&) = delete;

    /** Returns "HOST/ROLE/INCARNATION". The incarnation is random and differs
        after each restart of the process. */
    const std::string& id() const;

    const std::string& role() const;
    const process_settings& settings() const;

    boost::asio::io_context& context();
    const clock& time() const;
    time_point now() const;
    event_journal& journal();

    /** Writes the log to `writer` as JSON lines from now on. The writer must
        outlive the core. */
    void set_log_writer(log_writer& writer);

    const event_journal& journal_view() const;
    metrics_registry& metrics();
    identifier_source& identifiers();
    http_connection_pool& connections();
    kernel& services();

    /** Calls a function repeatedly on the io_context until the process stops.

        @param delay  time from the end of one call to the start of the next
    */
    void repeat(std::chrono::milliseconds delay, std::function<void()> body);

    /** Runs the io_context until a planned shutdown has completed.

        SIGTERM or SIGINT begins a planned shutdown; a second signal stops the
        process immediately.
    */
    void run();

    /** Begins a planned shutdown.

        The process stops when all services have been drained, or after
        process_settings::drain_timeout.
    */
    void drain();

    /** Changes process_settings::drain_timeout for a shutdown that has not
        begun. */
    void set_drain_timeout(std::chrono::milliseconds timeout);

    bool is_draining() const;

private:
    void wait_for_signals();
    void stop_event_loop();

    std::string role_;
    process_settings settings_;
    machine_clock clock_;
    identifier_source identifiers_;
    std::string id_;
    boost::asio::io_context context_{1};
    event_journal journal_;
    metrics_registry metrics_;
    http_connection_pool connections_;
    kernel kernel_;
    bool is_draining_ = false;
    bool is_stopping_ = false;
};

} // namespace hibiscusferry

#endif
