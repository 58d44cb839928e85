#include "process/core/process_core.hpp"

#include "process/core/process_signals.hpp"
#include <boost/asio/signal_set.hpp>
#include <csignal>

namespace hibiscusferry
{

namespace
{

constexpr std::size_t incarnation_digits = 12;
constexpr std::chrono::milliseconds start_retry_period{100};
constexpr std::chrono::seconds unavailable_log_period{10};

} // namespace

process_core::process_core(std::string role, process_settings settings)
    : role_(std::move(role))
    , settings_(std::move(settings))
    , id_(settings_.host + "/" + role_ + "/" +
          identifiers_.next().substr(0, incarnation_digits))
    , journal_(clock_, settings_.timeline_events)
    , connections_(context_)
{
    connections_.on_invalid_response(
        [this](const http_endpoint& peer, std::error_code problem)
        {
            const std::string cause(invalid_message_cause(problem));
            metrics_
                .counter_of("hibiscusferry_invalid_responses_total",
                            "cause=\"" + cause + "\"")
                .add();
            journal_.record(event_number::response_invalid,
                            {{"peer", peer.text()},
                             {"cause", cause},
                             {"problem", problem.message()}});
        });
}

const std::string& process_core::id() const
{
    return id_;
}

const std::string& process_core::role() const
{
    return role_;
}

const process_settings& process_core::settings() const
{
    return settings_;
}

boost::asio::io_context& process_core::context()
{
    return context_;
}

const clock& process_core::time() const
{
    return clock_;
}

time_point process_core::now() const
{
    return clock_.now();
}

event_journal& process_core::journal()
{
    return journal_;
}

void process_core::set_log_writer(log_writer& writer)
{
    journal_.set_writer(writer);
}

const event_journal& process_core::journal_view() const
{
    return journal_;
}

metrics_registry& process_core::metrics()
{
    return metrics_;
}

identifier_source& process_core::identifiers()
{
    return identifiers_;
}

http_connection_pool& process_core::connections()
{
    return connections_;
}

kernel& process_core::services()
{
    return kernel_;
}

void process_core::start_services()
{
    if (!kernel_.start_remaining())
        start_task(context_, [this](boost::asio::yield_context yield)
                   { retry_start(yield); });
}

void process_core::retry_start(boost::asio::yield_context yield)
{
    for (;;)
    {
        sleep_for(context_, start_retry_period, yield);
        if (is_draining_ || is_stopping_ || kernel_.start_remaining())
            return;
    }
}

result<std::unique_ptr<http_server>>
process_core::listen(const std::string& name, const http_endpoint& endpoint,
                     const http_server_limits& limits,
                     http_server::handler on_request)
{
    result<std::unique_ptr<http_server>> server =
        http_server::listen(context_, endpoint, limits, std::move(on_request));
    if (!server)
        report_unavailable(name, endpoint.text(), server.error());
    return server;
}

void process_core::report_unavailable(const std::string& name,
                                      const std::string& address,
                                      std::error_code problem)
{
    const auto logged_at = unavailable_logged_at_.find(name);
    if (logged_at != unavailable_logged_at_.end() &&
        now() - logged_at->second < unavailable_log_period)
        return;
    unavailable_logged_at_[name] = now();
    journal_.record(event_number::address_unavailable,
                    {{"listener", name},
                     {"address", address},
                     {"problem", problem.message()}});
}

void process_core::repeat(std::chrono::milliseconds delay,
                          std::function<void()> body)
{
    start_task(
        context_,
        [this, delay, body = std::move(body)](boost::asio::yield_context yield)
        {
            while (!is_stopping_)
            {
                body();
                sleep_for(context_, delay, yield);
            }
        });
}

void process_core::run()
{
    journal_.record(event_number::process_started,
                    {{"process", id_}, {"host", settings_.host}});
    wait_for_signals();
    context_.run();
    block_signals({SIGTERM, SIGINT});
    kernel_.stop();
}

void process_core::wait_for_signals()
{
    start_task(context_,
               [this](boost::asio::yield_context yield)
               {
                   boost::asio::signal_set signals(context_, SIGTERM, SIGINT);
                   unblock_signals({SIGTERM, SIGINT});
                   boost::system::error_code error;
                   signals.async_wait(yield[error]);
                   drain();
                   // A repeated SIGTERM must not cut requests: what sends it
                   // ends the process itself after the grace period.
                   int signal = SIGTERM;
                   while (signal == SIGTERM && !error)
                       signal = signals.async_wait(yield[error]);
                   block_signals({SIGTERM, SIGINT});
                   stop_event_loop();
               });
}

void process_core::set_drain_timeout(std::chrono::milliseconds timeout)
{
    settings_.drain_timeout = timeout;
}

void process_core::drain()
{
    if (is_draining_)
        return;
    is_draining_ = true;
    journal_.record(event_number::drain_started, {{"process", id_}});
    kernel_.drain(
        [this]
        {
            journal_.record(event_number::process_stopped, {{"process", id_}});
            stop_event_loop();
        });
    start_task(
        context_,
        [this](boost::asio::yield_context yield)
        {
            sleep_for(context_, settings_.drain_timeout, yield);
            journal_.record(event_number::drain_incomplete, {{"process", id_}});
            stop_event_loop();
        });
}

bool process_core::is_draining() const
{
    return is_draining_;
}

void process_core::stop_event_loop()
{
    is_stopping_ = true;
    context_.stop();
}

} // namespace hibiscusferry
