#include "gateway/process/gateway_service.hpp"

namespace hibiscusferry
{

namespace
{

/** Requests of a host that may be open at once; each holds its body and a
    stack, together below a quarter of the smallest host's memory. */
constexpr std::size_t most_open_requests = 700;

/** Of a planned stop's grace: after this long the balancer has noticed, and
    callers are asked to leave; then idle connections are closed. */
constexpr std::chrono::milliseconds callers_leave_after{2600};
constexpr std::chrono::milliseconds idle_closed_after{4200};
/** Before the end of the grace, for the way out of the process. */
constexpr std::chrono::milliseconds exit_margin{500};
constexpr std::chrono::milliseconds drain_poll{50};

constexpr std::chrono::milliseconds limits_poll{200};
constexpr std::chrono::milliseconds connection_sweep{2000};

/** Callers use connections that were idle for a part of the announced limit;
    the margin covers a change of the limit that is on its way. */
constexpr std::chrono::milliseconds idle_margin{3000};

/** How long a whole request may take to arrive: its header's time, and as
    long again for its body. */
constexpr int request_time_factor = 2;

} // namespace

gateway_service::gateway_service(const gateway_services& services)
    : services_(services)
    , random_(stable_hash(services.core.id()))
{
}

http_server_limits gateway_service::limits() const
{
    http_server_limits allowed;
    const std::shared_ptr<const route_table> routes = services_.fleet.routes();
    if (!routes)
        return allowed;
    const caller_limits& set = routes->configuration().limits;
    allowed.header_bytes = set.header_bytes;
    allowed.body_bytes = set.body_bytes;
    allowed.request_timeout = request_time_factor * set.header_time;
    allowed.idle_timeout = set.idle_timeout + idle_margin;
    return allowed;
}

result<void> gateway_service::start()
{
    result<std::unique_ptr<http_server>> callers = http_server::listen(
        services_.core.context(), services_.fleet.settings().callers, limits(),
        [this](http_exchange& exchange, boost::asio::yield_context yield)
        { serve(exchange, yield); });
    if (!callers)
        return callers.error();
    result<std::unique_ptr<http_server>> readiness = http_server::listen(
        services_.core.context(), services_.fleet.settings().readiness, {},
        [this](http_exchange& exchange, boost::asio::yield_context yield)
        { answer_readiness(exchange, yield); });
    if (!readiness)
        return readiness.error();
    callers_ = std::move(callers.value());
    readiness_ = std::move(readiness.value());
    services_.core.repeat(connection_sweep,
                          [this] { services_.core.connections().sweep(); });
    services_.core.repeat(limits_poll,
                          [this]
                          {
                              follow_limits();
                              watch_readiness();
                          });
    return outcome::success();
}

void gateway_service::follow_limits()
{
    const std::shared_ptr<const route_table> routes = services_.fleet.routes();
    if (!routes || routes->configuration().version == limits_version_)
        return;
    limits_version_ = routes->configuration().version;
    callers_->set_limits(limits());
}

void gateway_service::serve(http_exchange& exchange,
                            boost::asio::yield_context yield)
{
    if (callers_->active_exchanges() > most_open_requests)
    {
        constexpr std::chrono::milliseconds backlog{500};
        const result<void> ignored = exchange.respond(
            services_.callers.write(
                {refusal_cause::overloaded, retry_delay(backlog, random_())}),
            yield);
        static_cast<void>(ignored);
        services_.core.metrics()
            .counter_of("hibiscusferry_refusals_total",
                        "reason=\"too_many_open\"")
            .add();
        return;
    }
    request_forwarder run(services_, exchange, random_);
    run.serve(yield);
}

bool gateway_service::is_ready() const
{
    return !is_draining_ && services_.fleet.routes() != nullptr &&
           services_.fleet.knows_targets();
}

void gateway_service::watch_readiness()
{
    if (is_ready() == was_ready_)
        return;
    was_ready_ = is_ready();
    services_.core.journal().record(
        event_number::readiness_changed,
        {{"ready", was_ready_ ? "yes" : "no"},
         {"draining", is_draining_ ? "yes" : "no"},
         {"has_configuration", services_.fleet.routes() ? "yes" : "no"},
         {"knows_targets", services_.fleet.knows_targets() ? "yes" : "no"}});
}

void gateway_service::answer_readiness(http_exchange& exchange,
                                       boost::asio::yield_context yield)
{
    http_response response;
    response.status = is_ready() ? 200 : 503;
    const result<void> ignored = exchange.respond(response, yield);
    static_cast<void>(ignored);
}

void gateway_service::drain(std::function<void()> finished)
{
    is_draining_ = true;
    watch_readiness();
    start_task(
        services_.core.context(),
        [this, finished](boost::asio::yield_context yield)
        {
            const time_point began = services_.core.now();
            const time_point last =
                began + services_.fleet.settings().stop_grace - exit_margin;
            services_.fleet.set_stop(began + callers_leave_after, last);
            sleep_for(services_.core.context(), callers_leave_after, yield);
            callers_->close_after_responses();
            sleep_for(services_.core.context(),
                      idle_closed_after - callers_leave_after, yield);
            while (services_.core.now() < last &&
                   callers_->open_connections() > 0)
            {
                callers_->close_idle();
                sleep_for(services_.core.context(), drain_poll, yield);
            }
            finished();
        });
}

void gateway_service::stop()
{
    callers_->close();
    readiness_->close();
}

} // namespace hibiscusferry
