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

/** What all services of a daemon share.

    One io_context run by one thread; every service does its work on it. Made
    once in main and outliving all services.
*/
class process_core
{
public:
    /** @param role  "router" or "controller" */
    process_core(std::string role, process_settings settings);

    process_core(const process_core&) = delete;
    process_core& operator=(const process_core&) = delete;

    /** "HOST/ROLE/INCARNATION"; a restarted process has another one. */
    const std::string& id() const;
    const std::string& role() const;
    const process_settings& settings() const;

    boost::asio::io_context& context();
    const clock& time() const;
    time_point now() const;
    event_journal& journal();
    /** Sends the log to a writer as JSON lines; it must outlive the core. */
    void set_log_writer(log_writer& writer);
    const event_journal& journal_view() const;
    metrics_registry& metrics();
    identifier_source& identifiers();
    http_connection_pool& connections();
    kernel& services();

    /** Calls a function again and again on the io_context until the process
        stops, with this pause between the end of one call and the next. */
    void repeat(std::chrono::milliseconds pause, std::function<void()> body);

    /** Runs the started services until a planned stop has ended or
        stop_now() is called. SIGTERM and SIGINT begin a planned stop, a
        second one ends the process at once. */
    void run();

    /** Begins a planned stop. */
    void drain();

    bool is_draining() const;

private:
    void wait_for_signals();
    void finish();

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
