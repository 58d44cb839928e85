#include "stand_ins/support/stand_in_program.hpp"

#include <boost/asio/signal_set.hpp>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <gflags/gflags.h>
#include <glog/logging.h>
#include <iostream>

DEFINE_string(address, "127.0.0.1", "IP address to listen on");
DEFINE_int32(port, 0, "port to listen on; 0 selects a free port");
DEFINE_int32(stop_limit_ms, 2000,
             "time in milliseconds for in-flight requests after SIGTERM");

namespace hibiscusferry::stand_ins
{

namespace
{

constexpr std::chrono::milliseconds poll_interval{20};
constexpr std::size_t max_body_bytes = 32U << 20;

/** Waits for requests in flight, then exits the process. */
void drain_and_exit(boost::asio::io_context& context, const http_server& server,
                    boost::asio::yield_context yield)
{
    const time_point limit =
        boot_clock::now() + std::chrono::milliseconds(FLAGS_stop_limit_ms);
    while (server.active_exchanges() > 0 && boot_clock::now() < limit)
        sleep_for(context, poll_interval, yield);
    // Connections that are still open are closed when the process exits.
    std::quick_exit(EXIT_SUCCESS);
}

} // namespace

void parse_command_line(int& argument_count, char**& arguments,
                        const std::string& usage)
{
    gflags::SetUsageMessage(usage);
    gflags::ParseCommandLineFlags(&argument_count, &arguments, true);
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(arguments[0]);
}

void run_stand_in(boost::asio::io_context& context,
                  http_server::handler handler, std::function<void()> on_stop)
{
    http_server_limits limits;
    limits.body_bytes = max_body_bytes;
    const http_endpoint endpoint{FLAGS_address,
                                 static_cast<std::uint16_t>(FLAGS_port)};
    result<std::unique_ptr<http_server>> listen_result =
        http_server::listen(context, endpoint, limits, std::move(handler));
    if (!listen_result)
    {
        std::cerr << "cannot listen on " << endpoint.text() << "\n";
        std::quick_exit(EXIT_FAILURE);
    }
    http_server& server = *listen_result.value();

    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait(
        [&](const boost::system::error_code& error, int)
        {
            if (error)
                return;
            if (on_stop)
                on_stop();
            server.close_after_responses();
            start_task(context, [&](boost::asio::yield_context yield)
                       { drain_and_exit(context, server, yield); });
        });

    std::cout << "listening " << server.endpoint().text() << std::endl;
    context.run();
    std::quick_exit(EXIT_SUCCESS);
}

void hang_until_disconnect(boost::asio::io_context& context,
                           http_exchange& exchange,
                           boost::asio::yield_context yield)
{
    while (!exchange.is_client_disconnected())
        sleep_for(context, poll_interval, yield);
}

void send_response(http_exchange& exchange, const http_response& response,
                   boost::asio::yield_context yield)
{
    const result<void> ignored = exchange.respond(response, yield);
    static_cast<void>(ignored);
}

void send_json(http_exchange& exchange, unsigned status,
               const nlohmann::json& body, boost::asio::yield_context yield)
{
    const std::string text =
        body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    http_response response = json_response(status, text);
    const std::string attempt(exchange.request().headers.value("X-Attempt-Id"));
    if (!attempt.empty())
        response.headers.set("X-Attempt-Id", attempt);
    send_response(exchange, response, yield);
}

nlohmann::json error_body(const std::string& code)
{
    return {{"error", {{"code", code}}}};
}

http_response not_run_response(unsigned status, const std::string& code)
{
    http_response response = json_response(status, error_body(code).dump());
    response.headers.set("X-Not-Run", "true");
    return response;
}

nlohmann::json parse_object(const http_request& request)
{
    nlohmann::json body = nlohmann::json::parse(request.body, nullptr, false);
    if (!body.is_object())
        return nlohmann::json(nlohmann::json::value_t::discarded);
    return body;
}

} // namespace hibiscusferry::stand_ins
