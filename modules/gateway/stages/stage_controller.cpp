#include "gateway/stages/stage_controller.hpp"

namespace hibiscusferry
{

namespace
{

constexpr std::chrono::milliseconds status_timeout{600};
constexpr std::chrono::milliseconds order_timeout{1500};
constexpr std::size_t max_engine_response_bytes = 64U << 10;
/** Interval between evaluations of the stage plan. */
constexpr std::chrono::milliseconds plan_period{500};
/** An order without a response may still be carried out within this time. */
constexpr std::chrono::milliseconds late_order_timeout{15000};
/** Delay between a change of stage and its report by the engine. */
constexpr std::chrono::milliseconds stage_report_lag{2500};

std::size_t count_zones(const target_list& targets)
{
    std::set<std::string> zones;
    for (const std::shared_ptr<target_view>& target : targets)
        zones.insert(target->record.availability_zone);
    return zones.size();
}

/** The fraction of the engines that are prefill engines. */
double prefill_fraction(const target_list& targets)
{
    double prefill_engines = 0;
    double engines = 0;
    for (const std::shared_ptr<target_view>& target : targets)
    {
        if (target->is_withdrawn || target->record.stage == target_role::mixed)
            continue;
        ++engines;
        prefill_engines += target->record.stage == target_role::prefill ? 1 : 0;
    }
    return engines > 0 ? prefill_engines / engines : 0;
}

} // namespace

stage_controller::stage_controller(const gateway_services& services,
                                   const fleet_authority& authority)
    : services_(services)
    , authority_(authority)
{
}

result<void> stage_controller::start()
{
    services_.core.repeat(plan_period,
                          [this]
                          {
                              if (can_issue_orders())
                                  plan();
                          });
    return outcome::success();
}

void stage_controller::stop()
{
    is_stopping_ = true;
}

bool stage_controller::can_issue_orders() const
{
    const time_point now = services_.core.now();
    const std::optional<time_point> acquired_at = authority_.acquired_at();
    if (is_stopping_ || !authority_.may_act(now) || !acquired_at)
        return false;
    return authority_.is_first_holder() ||
           now >= *acquired_at + services_.fleet.settings().min_order_interval +
                      fleet_authority::delivery_margin;
}

void stage_controller::plan()
{
    const std::shared_ptr<const route_table> routes = services_.fleet.routes();
    if (!routes)
        return;
    for (const service_properties& service : routes->configuration().services)
    {
        if (!service.engine)
            continue;
        const target_list& targets =
            services_.fleet.registry().targets_for_service(service.name);
        stage_planner_settings settings;
        settings.is_already_divided = !authority_.is_first_holder();
        if (settings.is_already_divided)
            settings.initial_prefill_fraction = prefill_fraction(targets);
        stage_planner& planner =
            planners_.try_emplace(service.name, settings).first->second;
        const time_point now = services_.core.now();
        const std::optional<stage_demand> demand =
            services_.fleet.performance(service.name).demand(now);
        if (demand)
            planner.set_prefill_fraction(
                planned_prefill_fraction(*service.engine, *demand,
                                         count_zones(targets)),
                now);
        const std::vector<stage_change> requested_changes =
            planner.plan(targets, now);
        for (const stage_change& change : requested_changes)
            start_order(service, change);
    }
}

void stage_controller::start_order(const service_properties& service,
                                   const stage_change& change)
{
    const std::shared_ptr<target_view> target =
        services_.fleet.registry().find(change.target);
    const bool may_send = target && !target->is_withdrawn &&
                          services_.core.now() >= target->refuses_until &&
                          orders_in_progress_.insert(change.target).second;
    if (!may_send)
        return;
    services_.core.journal().record(
        event_number::role_change_wanted,
        {{"target", change.target},
         {"service", service.name},
         {"stage",
          change.stage == target_role::prefill ? "prefill" : "decode"}});
    start_task(services_.core.context(),
               [this, service, target,
                stage = change.stage](boost::asio::yield_context yield)
               {
                   send_order(service, target, stage, yield);
                   orders_in_progress_.erase(target->record.id);
               });
}

bool stage_controller::may_order(const target_view& target) const
{
    return !target.is_withdrawn &&
           services_.core.now() >= target.refuses_until && can_issue_orders();
}

void stage_controller::send_order(const service_properties& service,
                                  const std::shared_ptr<target_view>& target,
                                  target_role stage,
                                  boost::asio::yield_context yield)
{
    const result<engine_status> status = query_status(*target, yield);
    if (!status || status.value().is_changing_stage ||
        status.value().stage == stage || !may_order(*target))
        return;

    const std::chrono::milliseconds change_duration =
        service.engine->stage_change_duration + stage_report_lag;
    // The engine counts as unavailable until its row shows the new stage.
    target->stage_change_until = services_.core.now() + change_duration;
    target->ordered_stage = stage;
    result<std::unique_ptr<http_connection>> connection =
        services_.core.connections().open(target->record.endpoint,
                                          order_timeout, yield);
    // The lease may have been lost while the connection was opened.
    if (!connection || !may_order(*target))
    {
        target->stage_change_until = {};
        target->ordered_stage.reset();
        return;
    }
    const stage_order order{
        target->record, stage, services_.fleet.settings().host,
        authority_.fencing_number(), status.value().order_count};
    target->stage_change_until = services_.core.now() + change_duration;
    write_order(order, *target, std::move(connection.value()), yield);
}

void stage_controller::write_order(const stage_order& order,
                                   target_view& target,
                                   std::unique_ptr<http_connection> connection,
                                   boost::asio::yield_context yield)
{
    std::vector<event_field> fields{
        {"target", order.target.id},
        {"fencing_number", std::to_string(order.fencing_number)},
        {"expected_orders", std::to_string(order.expected_order_count)}};
    services_.core.journal().record(event_number::order_sent, fields);
    const time_point order_sent_at = services_.core.now();
    target.request_limit.record_request(order_sent_at);
    // A successor waits for that margin before it issues an order.
    static_assert(order_timeout < fleet_authority::delivery_margin);
    connection->abort_on_close(order_timeout);
    const result<http_response> response =
        http_call(services_.core.connections(), std::move(connection),
                  services_.targets.write_order(order), order_timeout,
                  max_engine_response_bytes, yield);
    fields.push_back({"answer", response
                                    ? std::to_string(response.value().status)
                                    : response.error().message()});
    if (response)
        services_.fleet.apply_notice(
            target,
            services_.targets.read_notice(response.value().status,
                                          response.value().headers),
            order_sent_at);
    const stage_order_result order_result =
        response ? services_.targets.read_order_response(
                       {response.value().status, response.value().headers})
                 : stage_order_result::unknown;
    if (order_result == stage_order_result::unknown)
    {
        services_.core.journal().record(event_number::order_overdue, fields);
        target.stage_change_until = services_.core.now() + late_order_timeout;
        return;
    }
    const bool is_refused = order_result == stage_order_result::refused;
    services_.core.journal().record(is_refused ? event_number::order_refused
                                               : event_number::order_settled,
                                    fields);
    if (is_refused)
    {
        target.stage_change_until = {};
        target.ordered_stage.reset();
    }
}

result<engine_status>
stage_controller::query_status(target_view& engine,
                               boost::asio::yield_context yield)
{
    const time_point sent_at = services_.core.now();
    engine.request_limit.record_request(sent_at);
    const result<http_response> response =
        http_call(services_.core.connections(), engine.record.endpoint,
                  services_.targets.write_status_request(), status_timeout,
                  max_engine_response_bytes, yield);
    if (!response)
        return response.error();
    services_.fleet.apply_notice(
        engine,
        services_.targets.read_notice(response.value().status,
                                      response.value().headers),
        sent_at);
    return services_.targets.read_status(response.value().body);
}

} // namespace hibiscusferry
