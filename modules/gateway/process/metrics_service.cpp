#include "gateway/process/metrics_service.hpp"

#include "gateway/crashes/quarantine_page.hpp"
#include "gateway/process/listener_limits.hpp"

namespace hibiscusferry
{

namespace
{

constexpr std::chrono::milliseconds flush_period{100};
/** Must match the metrics port in deploy/system.toml. */
constexpr std::uint16_t metrics_port = 9464;
const std::string metrics_path = "/metrics";

} // namespace

metrics_service::metrics_service(process_core& core, const fleet_state& fleet,
                                 log_writer& log, crash_directory& crashes)
    : core_(core)
    , fleet_(fleet)
    , log_(log)
    , crashes_(crashes)
{
}

result<void> metrics_service::start()
{
    // The host can serve without this page.
    listen();
    core_.repeat(flush_period,
                 [this]
                 {
                     if (!server_)
                         listen();
                     log_.flush();
                     core_.metrics()
                         .gauge_of("hibiscusferry_log_lines_dropped")
                         .set(static_cast<double>(log_.dropped()));
                 });
    return outcome::success();
}

void metrics_service::listen()
{
    result<std::unique_ptr<http_server>> listening = core_.listen(
        "metrics", {fleet_.settings().address, metrics_port}, metrics_limits(),
        [this](http_exchange& exchange, boost::asio::yield_context yield)
        {
            const result<void> ignored =
                exchange.respond(serve(exchange.request()), yield);
            static_cast<void>(ignored);
        });
    if (listening)
        server_ = std::move(listening.value());
}

http_response metrics_service::serve(const http_request& request)
{
    if (request.path() == quarantine_path)
        return serve_quarantine_page(crashes_, request);
    http_response response;
    const bool is_page = request.path() == metrics_path;
    response.status = is_page ? 200 : 404;
    response.headers.set("Content-Type", "text/plain; charset=utf-8");
    if (is_page)
        response.body = core_.metrics().text();
    return response;
}

void metrics_service::stop()
{
    log_.flush();
    if (server_)
        server_->close();
}

} // namespace hibiscusferry
