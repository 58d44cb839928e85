#include "gateway/process/gateway_service.hpp"

#include "gateway/process/stop_schedule.hpp"

namespace hibiscusferry
{

namespace
{

/** Maximum number of requests in flight on a host. Each holds its body and a
    stack; together they use less than a quarter of the memory of the smallest
    host. */
constexpr std::size_t max_requests_in_flight = 700;

constexpr std::chrono::milliseconds drain_poll_period{50};

constexpr std::chrono::milliseconds limits_poll_period{200};
constexpr std::chrono::milliseconds connection_sweep_period{2000};
constexpr std::chrono::milliseconds unprocessed_log_period{1000};

/** Basis of the retry delay of a request that this host is too busy to process:
    about the time for which a burst lasts. */
constexpr std::chrono::milliseconds overload_backlog{500};

/** Added to the configured idle limit. Callers reuse connections that have been
    idle for up to a fraction of the announced limit; the margin covers a change
    of the limit that has not reached them yet. */
constexpr std::chrono::milliseconds idle_margin{3000};

/** Ratio of the time allowed for receiving a whole request to the time allowed
    for its header: the body gets as long as the header. */
constexpr int request_time_factor = 2;

/** Returns true for failures that this host caused. What callers cause is only
    counted; where it matters, the request itself is logged. */
bool is_logged(exchange_failure_cause cause)
{
    return cause == exchange_failure_cause::request_timeout ||
           cause == exchange_failure_cause::write_failed ||
           cause == exchange_failure_cause::write_timeout ||
           cause == exchange_failure_cause::response_incomplete ||
           cause == exchange_failure_cause::handler_exception ||
           cause == exchange_failure_cause::server_closed ||
           cause == exchange_failure_cause::request_length_unknown ||
           cause == exchange_failure_cause::request_coding_unknown;
}

} // namespace

gateway_service::gateway_service(const gateway_services& services)
    : services_(services)
    , random_(stable_hash(services.core.id()))
    , intake_(services.core.context())
    , client_memory_(std::make_shared<memory_budget>(
          client_memory_bytes(services.fleet.settings())))
{
    services_.memory->set_budget(client_memory_);
}

http_server_limits gateway_service::limits() const
{
    http_server_limits server_limits;
    server_limits.connections =
        max_caller_connections(services_.fleet.settings());
    server_limits.memory = client_memory_;
    const std::shared_ptr<const route_table> routes = services_.fleet.routes();
    if (!routes)
        return server_limits;
    const caller_limits& configured = routes->configuration().limits;
    server_limits.header_bytes = configured.header_bytes;
    server_limits.body_bytes = configured.body_bytes;
    server_limits.request_timeout =
        request_time_factor * configured.header_timeout;
    server_limits.idle_timeout = configured.idle_timeout + idle_margin;
    return server_limits;
}

result<void> gateway_service::start()
{
    // Callers must not connect before all listeners are available.
    result<std::unique_ptr<http_server>> readiness = services_.core.listen(
        "readiness", services_.fleet.settings().readiness, readiness_limits(),
        [this](http_exchange& exchange, boost::asio::yield_context yield)
        { serve_readiness(exchange, yield); });
    if (!readiness)
        return readiness.error();
    result<std::unique_ptr<http_server>> callers = services_.core.listen(
        "callers", services_.fleet.settings().callers, limits(),
        [this](http_exchange& exchange, boost::asio::yield_context yield)
        { serve(exchange, yield); });
    if (!callers)
        return callers.error();
    callers_ = std::move(callers.value());
    readiness_ = std::move(readiness.value());
    callers_->on_exchange_failure([this](const exchange_failure& failure)
                                  { record_failure(failure); });
    readiness_->on_exchange_failure([this](const exchange_failure& failure)
                                    { record_failure(failure); });
    callers_->on_memory_short(
        [this]
        {
            return services_.callers.write(
                {refusal_cause::host_overloaded,
                 retry_delay(overload_backlog, random_())});
        });
    client_memory_->set_reclaimer(
        [this] { return callers_->drop_stopped_connection(); });
    services_.core.repeat(connection_sweep_period,
                          [this] { services_.core.connections().sweep(); });
    services_.core.repeat(limits_poll_period,
                          [this]
                          {
                              update_limits();
                              log_readiness_change();
                              update_configuration_age();
                          });
    services_.core.repeat(unprocessed_log_period,
                          [this]
                          {
                              log_unprocessed();
                              log_client_limits();
                          });
    return outcome::success();
}

void gateway_service::update_limits()
{
    const std::shared_ptr<const route_table> routes = services_.fleet.routes();
    if (!routes || routes->configuration().version == limits_version_)
        return;
    limits_version_ = routes->configuration().version;
    callers_->set_limits(limits());
    intake_.delay().set_latency_objective(
        routes->configuration().strictest_latency_objective());
}

void gateway_service::serve(http_exchange& exchange,
                            boost::asio::yield_context yield)
{
    const bool is_admitted =
        intake_.wait_for_turn(exchange.arrived_at(), yield);
    if (!is_admitted || callers_->active_exchanges() > max_requests_in_flight)
    {
        refuse_unprocessed(exchange, yield);
        return;
    }
    request_forwarder forwarder(services_, exchange, random_);
    forwarder.serve(yield);
}

void gateway_service::refuse_unprocessed(http_exchange& exchange,
                                         boost::asio::yield_context yield)
{
    const std::chrono::milliseconds wait =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            services_.core.now() - exchange.arrived_at());
    ++unprocessed_.count;
    unprocessed_.max_wait = std::max(unprocessed_.max_wait, wait);
    const result<void> ignored = exchange.respond(
        services_.callers.write({refusal_cause::host_overloaded,
                                 retry_delay(overload_backlog, random_())}),
        yield);
    static_cast<void>(ignored);
}

void gateway_service::log_unprocessed()
{
    if (unprocessed_.count == 0)
        return;
    services_.core.metrics()
        .counter_of("hibiscusferry_refusals_total",
                    "reason=\"" +
                        std::string(to_text(refusal_cause::host_overloaded)) +
                        "\"")
        .add(unprocessed_.count);
    services_.core.journal().record(
        event_number::requests_unprocessed,
        {{"count", std::to_string(unprocessed_.count)},
         {"max_wait_ms", std::to_string(unprocessed_.max_wait.count())},
         {"waiting", std::to_string(intake_.size())},
         {"in_flight", std::to_string(callers_->active_exchanges())}});
    unprocessed_ = {};
}

void gateway_service::count_client_limit(const exchange_failure& failure)
{
    switch (failure.cause)
    {
    case exchange_failure_cause::memory_short:
        ++limited_.requests_refused;
        break;
    case exchange_failure_cause::slow_client_dropped:
        ++limited_.clients_dropped;
        break;
    case exchange_failure_cause::connection_limit:
        ++limited_.connections_refused;
        break;
    case exchange_failure_cause::connection_dropped:
        ++limited_.connections_dropped;
        break;
    case exchange_failure_cause::too_many_fields:
        ++limited_.fields_exceeded;
        break;
    default:
        break;
    }
}

void gateway_service::log_client_limits()
{
    services_.core.metrics()
        .gauge_of("hibiscusferry_client_memory_bytes")
        .set(static_cast<double>(client_memory_->used()));
    services_.core.metrics()
        .gauge_of("hibiscusferry_client_connections")
        .set(static_cast<double>(callers_->open_connections()));
    if (limited_.requests_refused + limited_.clients_dropped > 0)
        services_.core.journal().record(
            event_number::client_memory_short,
            {{"refused", std::to_string(limited_.requests_refused)},
             {"dropped", std::to_string(limited_.clients_dropped)},
             {"used_bytes", std::to_string(client_memory_->used())},
             {"limit_bytes", std::to_string(client_memory_->capacity())}});
    if (limited_.connections_refused + limited_.connections_dropped > 0)
        services_.core.journal().record(
            event_number::client_connections_limited,
            {{"refused", std::to_string(limited_.connections_refused)},
             {"dropped", std::to_string(limited_.connections_dropped)},
             {"open", std::to_string(callers_->open_connections())}});
    if (limited_.fields_exceeded > 0)
        services_.core.journal().record(
            event_number::client_fields_limited,
            {{"count", std::to_string(limited_.fields_exceeded)}});
    limited_ = {};
}

void gateway_service::update_configuration_age()
{
    const std::optional<time_point> confirmed_at =
        services_.fleet.configuration_confirmed_at();
    if (!confirmed_at)
        return;
    const std::chrono::duration<double> age =
        services_.core.now() - *confirmed_at;
    services_.core.metrics()
        .gauge_of("hibiscusferry_configuration_age_seconds")
        .set(age.count());
}

bool gateway_service::is_ready() const
{
    return !is_draining_ && services_.fleet.routes() != nullptr &&
           services_.fleet.has_target_list() &&
           !services_.fleet.is_configuration_overdue(services_.core.now()) &&
           !services_.fleet.will_refuse_credentials(services_.core.now());
}

void gateway_service::log_readiness_change()
{
    if (is_ready() == was_ready_)
        return;
    was_ready_ = is_ready();
    services_.core.journal().record(
        event_number::readiness_changed,
        {{"ready", was_ready_ ? "yes" : "no"},
         {"draining", is_draining_ ? "yes" : "no"},
         {"has_configuration", services_.fleet.routes() ? "yes" : "no"},
         {"knows_targets", services_.fleet.has_target_list() ? "yes" : "no"},
         {"configuration_overdue",
          services_.fleet.is_configuration_overdue(services_.core.now())
              ? "yes"
              : "no"},
         {"verifies_keys",
          services_.fleet.will_refuse_credentials(services_.core.now())
              ? "no"
              : "yes"}});
}

void gateway_service::record_failure(const exchange_failure& failure)
{
    const std::string cause(to_text(failure.cause));
    services_.core.metrics()
        .counter_of("hibiscusferry_failed_exchanges_total",
                    "cause=\"" + cause + "\"")
        .add();
    count_client_limit(failure);
    if (!is_logged(failure.cause))
        return;
    services_.core.journal().record(
        event_number::exchange_failed,
        {{"request", failure.request != nullptr
                         ? services_.callers.read(*failure.request).id
                         : std::string()},
         {"cause", cause},
         {"caller", failure.client.text()},
         {"request_read", failure.request != nullptr ? "whole" : "part"},
         {"response_started", failure.has_started_response ? "yes" : "no"},
         {"elapsed_ms", std::to_string(failure.elapsed.count())}});
}

void gateway_service::serve_readiness(http_exchange& exchange,
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
    log_readiness_change();
    start_task(
        services_.core.context(),
        [this, finished](boost::asio::yield_context yield)
        {
            const stop_schedule schedule = stop_schedule::divide(
                services_.fleet.settings().stop_grace_period);
            const time_point drain_start = services_.core.now();
            const time_point drain_deadline =
                drain_start + schedule.end_after();
            services_.fleet.schedule_stop(drain_start + schedule.refuse_after(),
                                          drain_start +
                                              schedule.last_deadline());
            sleep_for(services_.core.context(), schedule.refuse_after(), yield);
            callers_->close_after_responses();
            sleep_for(services_.core.context(),
                      schedule.close_idle_after() - schedule.refuse_after(),
                      yield);
            while (services_.core.now() < drain_deadline &&
                   callers_->open_connections() > 0)
            {
                callers_->close_idle();
                sleep_for(services_.core.context(), drain_poll_period, yield);
            }
            if (callers_->active_exchanges() > 0)
                services_.core.journal().record(
                    event_number::drain_incomplete,
                    {{"process", services_.core.id()},
                     {"requests",
                      std::to_string(callers_->active_exchanges())}});
            finished();
        });
}

void gateway_service::stop()
{
    client_memory_->set_reclaimer({});
    callers_->close();
    readiness_->close();
}

} // namespace hibiscusferry
