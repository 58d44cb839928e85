#ifndef HIBISCUSFERRY_PROCESS_CORE_PROCESS_CORE_HPP
#define HIBISCUSFERRY_PROCESS_CORE_PROCESS_CORE_HPP

#include "foundation/foundation.hpp"
#include "http/http.hpp"
#include "settings/settings.hpp"
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
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

    /** Starts the services of the kernel, and goes on trying while one of them
        cannot be started, for example because the process that ran before still
        holds its address. To be called before run(). */
    void start_services();

    /** Starts a server, or logs why that is not possible.

        @param name  what the server is for, for the log
        @returns the errors of http_server::listen()
    */
    result<std::unique_ptr<http_server>>
    listen(const std::string& name, const http_endpoint& endpoint,
           const http_server_limits& limits, http_server::handler on_request);

    /** Logs that an address cannot be listened on; only once in a while for the
        same name. */
    void report_unavailable(const std::string& name, const std::string& address,
                            std::error_code problem);

    /** Calls a function repeatedly on the io_context until the process stops.

        @param delay  time from the end of one call to the start of the next
    */
    void repeat(std::chrono::milliseconds delay, std::function<void()> body);

    /** Runs the io_context until a planned shutdown has completed.

        SIGTERM or SIGINT begins a planned shutdown. A SIGINT during the
        shutdown stops the process immediately; a SIGTERM does not.
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
    void retry_start(boost::asio::yield_context yield);
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
    /** When each unavailable address was logged last, by its name. */
    std::map<std::string, time_point> unavailable_logged_at_;
    bool is_draining_ = false;
    bool is_stopping_ = false;
};

} // namespace hibiscusferry

#endif
