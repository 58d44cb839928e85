#include "gateway/stages/stage_controller.hpp"

namespace hibiscusferry
{

namespace
{

constexpr std::chrono::milliseconds tick_period{100};
constexpr std::chrono::milliseconds store_limit{1000};
constexpr std::chrono::milliseconds status_limit{600};
constexpr std::chrono::milliseconds order_limit{1500};
constexpr std::size_t answer_bytes = 64U << 10;
/** Between two looks at the plan. */
constexpr std::chrono::milliseconds plan_period{500};
/** Added to the time between orders of two holders: an order may take this
    long to reach its engine. */
constexpr std::chrono::milliseconds turn_margin{2000};
/** An order without an answer may be carried out this much later. */
constexpr std::chrono::milliseconds late_order_limit{15000};
/** Engines report a change of stage with this lag. */
constexpr std::chrono::milliseconds report_margin{2500};

lease_settings stage_lease()
{
    lease_settings settings;
    settings.watch_period = std::chrono::milliseconds(2000);
    return settings;
}

process_identity identity_of(process_core& core)
{
    return {core.settings().host, core.id()};
}

} // namespace

stage_controller::stage_controller(const gateway_services& services,
                                   state_follower& follower,
                                   load_exchange& exchange, table_store& store)
    : services_(services)
    , follower_(follower)
    , exchange_(exchange)
    , store_(store)
    , lease_(services.core.settings().region, "stages",
             identity_of(services.core), stage_lease(),
             services.core.identifiers())
{
}

result<void> stage_controller::start()
{
    services_.core.repeat(tick_period, [this] { tick(); });
    services_.core.repeat(plan_period,
                          [this]
                          {
                              if (may_order())
                                  plan();
                          });
    return outcome::success();
}

void stage_controller::drain(std::function<void()> finished)
{
    perform(lease_.release(services_.core.now()));
    finished();
}

void stage_controller::stop()
{
    is_stopping_ = true;
}

void stage_controller::tick()
{
    if (is_stopping_ || !services_.fleet.knows_targets())
        return;
    // Relays are up and read the store anyhow.
    lease_.set_live_hosts(exchange_.relays());
    perform(lease_.tick(services_.core.now()));
}

void stage_controller::perform(const lease_actions& actions)
{
    const time_point now = services_.core.now();
    if (actions.change == lease_change::acquired)
    {
        const bool is_first = lease_.fencing_number() <= 1;
        orders_from_ =
            is_first ? now
                     : now + services_.fleet.settings().min_order_interval +
                           turn_margin;
        services_.core.journal().record(
            event_number::lease_acquired,
            {{"lease", lease_.key()},
             {"fencing_number", std::to_string(lease_.fencing_number())}});
    }
    if (actions.change == lease_change::lost)
        services_.core.journal().record(event_number::lease_lost,
                                        {{"lease", lease_.key()}});
    if (actions.change == lease_change::released)
        services_.core.journal().record(event_number::lease_released,
                                        {{"lease", lease_.key()}});
    if (actions.commit)
    {
        const std::string write_id = actions.commit->write_id;
        store_.commit(*actions.commit, store_limit,
                      [this, write_id](const result<commit_receipt>& receipt)
                      {
                          if (!receipt)
                              follower_.link().failed(receipt.error());
                          perform(lease_.commit_finished(write_id, receipt,
                                                         services_.core.now()));
                      });
    }
    if (actions.read)
        store_.read(lease_.key(), store_limit,
                    [this](const result<table_row>& row)
                    { perform(lease_.row_read(row, services_.core.now())); });
}

bool stage_controller::may_order() const
{
    const time_point now = services_.core.now();
    return !is_stopping_ && lease_.may_act(now) && orders_from_ &&
           now >= *orders_from_;
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
        stage_plan_settings settings;
        settings.prefill_part = planned_prefill_part(
            *service.engine, engine_speeds{}, planned_prompt{});
        stage_planner& planner =
            planners_.try_emplace(service.name, settings).first->second;
        const std::vector<wanted_stage> wanted =
            planner.plan(services_.fleet.registry().of_service(service.name),
                         services_.core.now());
        for (const wanted_stage& change : wanted)
            order(service, change);
    }
}

void stage_controller::order(const service_properties& service,
                             const wanted_stage& wanted)
{
    const std::shared_ptr<target_view> target =
        services_.fleet.registry().find(wanted.target);
    if (!target || !in_progress_.insert(wanted.target).second)
        return;
    services_.core.journal().record(
        event_number::role_change_wanted,
        {{"target", wanted.target},
         {"service", service.name},
         {"stage",
          wanted.stage == target_role::prefill ? "prefill" : "decode"}});
    start_task(services_.core.context(),
               [this, service, target,
                stage = wanted.stage](boost::asio::yield_context yield)
               {
                   give(service, target, stage, yield);
                   in_progress_.erase(target->record.id);
               });
}

void stage_controller::give(const service_properties& service,
                            const std::shared_ptr<target_view>& target,
                            target_role stage, boost::asio::yield_context yield)
{
    const result<engine_status> status = ask_status(target->record, yield);
    if (!status || status.value().is_changing ||
        status.value().stage == stage || !may_order())
        return;

    const stage_order wanted{
        target->record, stage, services_.fleet.settings().host,
        lease_.fencing_number(), status.value().order_count};
    std::vector<event_field> fields{
        {"target", target->record.id},
        {"fencing_number", std::to_string(wanted.fencing_number)},
        {"expected_orders", std::to_string(wanted.expected_order_count)}};
    services_.core.journal().record(event_number::order_sent, fields);
    // Until the engine's row shows the new stage, it counts as away.
    target->changing_until = services_.core.now() +
                             service.engine->stage_change_duration +
                             report_margin;
    target->ordered_stage = stage;
    const result<http_response> answer =
        http_call(services_.core.connections(), target->record.endpoint,
                  services_.targets.write_order(wanted), order_limit,
                  answer_bytes, yield);
    fields.push_back({"answer", answer ? std::to_string(answer.value().status)
                                       : answer.error().message()});
    if (!answer)
    {
        services_.core.journal().record(event_number::order_overdue, fields);
        target->changing_until = services_.core.now() + late_order_limit;
        return;
    }
    const bool is_refused =
        services_.targets.read_order_response(answer.value().status) ==
        stage_order_result::refused;
    services_.core.journal().record(is_refused ? event_number::order_refused
                                               : event_number::order_settled,
                                    fields);
    if (is_refused)
    {
        target->changing_until = {};
        target->ordered_stage.reset();
    }
}

result<engine_status>
stage_controller::ask_status(const target_record& engine,
                             boost::asio::yield_context yield)
{
    const result<http_response> answer =
        http_call(services_.core.connections(), engine.endpoint,
                  services_.targets.write_status_request(), status_limit,
                  answer_bytes, yield);
    if (!answer)
        return answer.error();
    return services_.targets.read_status(answer.value().body);
}

} // namespace hibiscusferry
