#include "gateway/duties/capacity_service.hpp"

#include <algorithm>

namespace hibiscusferry
{

namespace
{

constexpr std::chrono::milliseconds capacity_plan_period{500};
/** Hosts whose work has to be known before capacity is released. */
constexpr std::size_t min_reporting_percent = 80;

} // namespace

capacity_service::capacity_service(const gateway_services& services,
                                   const load_exchange& exchange,
                                   const fleet_authority& authority,
                                   const duty_protocol& protocol,
                                   duty_caller& caller)
    : services_(services)
    , exchange_(exchange)
    , authority_(authority)
    , protocol_(protocol)
    , caller_(caller)
{
}

result<void> capacity_service::start()
{
    start_task(services_.core.context(),
               [this](boost::asio::yield_context yield) { order_loop(yield); });
    return outcome::success();
}

void capacity_service::stop()
{
    is_stopping_ = true;
}

void capacity_service::order_loop(boost::asio::yield_context yield)
{
    while (!is_stopping_)
    {
        sleep_for(services_.core.context(), capacity_plan_period, yield);
        // Kept while the plan waits for responses.
        const std::shared_ptr<const route_table> routes =
            services_.fleet.routes();
        if (!routes || !services_.fleet.has_target_list() ||
            !authority_.may_begin_duties(services_.core.now()))
            continue;
        for (const service_properties& service :
             routes->configuration().services)
        {
            if (service.autoscale && service.autoscale->max_targets > 0)
                plan(service, yield);
        }
    }
}

void capacity_service::plan(const service_properties& service,
                            boost::asio::yield_context yield)
{
    if (term_ != authority_.term())
    {
        term_ = authority_.term();
        planners_.clear();
    }
    capacity_planner& planner =
        planners_
            .try_emplace(service.name, *service.autoscale, capacity_settings{},
                         authority_.is_first_holder())
            .first->second;
    planner.set_limits(*service.autoscale);
    const capacity_situation& situation = situations_[service.name] =
        situation_of(service);
    const std::vector<capacity_change> changes =
        planner.plan(situation, services_.core.now());
    services_.core.metrics()
        .gauge_of("hibiscusferry_targets_needed",
                  "service=\"" + service.name + "\"")
        .set(planner.needed_targets());
    for (const capacity_change& change : changes)
    {
        order(service, change, yield);
        // The planners are made anew in another term.
        if (term_ != authority_.term())
            return;
    }
}

capacity_situation
capacity_service::situation_of(const service_properties& service)
{
    capacity_situation situation;
    std::set<std::string>& zones = zones_[service.name];
    const target_list& targets =
        services_.fleet.registry().targets_for_service(service.name);
    for (const std::shared_ptr<target_view>& target : targets)
        zones.insert(target->record.availability_zone);
    for (const std::string& zone : zones)
        situation.zones[zone] = {};
    for (const std::shared_ptr<target_view>& target : targets)
    {
        zone_capacity& zone = situation.zones[target->record.availability_zone];
        if (target->is_withdrawn)
            ++(target->record.is_reclaimable ? zone.reclaimable_leaving
                                             : zone.ordinary_leaving);
        else
            ++(target->record.is_reclaimable ? zone.reclaimable
                                             : zone.ordinary);
    }
    situation.busy_targets = busy_targets(service);
    situation.is_complete =
        exchange_.reporting_hosts() * 100 >=
        services_.fleet.live_hosts() * min_reporting_percent;
    situation.refused_fraction = services_.fleet.refusals(service.name)
                                     .refused_fraction(services_.core.now());
    return situation;
}

std::optional<double>
capacity_service::busy_targets(const service_properties& service)
{
    const time_point now = services_.core.now();
    if (service.engine)
        return services_.fleet.performance(service.name)
            .busy_engines(service.engine->slots, now);
    double busy = 0;
    for (const std::shared_ptr<target_view>& target :
         services_.fleet.registry().targets_for_service(service.name))
        busy +=
            expected_load(*target, services_.fleet.live_hosts(), now).requests /
            std::max(target->record.slots, 1U);
    return busy > 0 ? std::optional(busy) : std::nullopt;
}

void capacity_service::order(const service_properties& service,
                             const capacity_change& change,
                             boost::asio::yield_context yield)
{
    const capacity_order request{service.name, change.availability_zone,
                                 change.targets,
                                 change.kind == target_kind::reclaimable};
    const std::optional<duty_result> outcome =
        caller_.call([this, &request](const duty_authority& authority)
                     { return protocol_.write_order(request, authority); },
                     yield);
    log(service, change,
        outcome ? std::string(to_text(*outcome)) : std::string("unknown"));
    services_.core.metrics()
        .counter_of("hibiscusferry_capacity_orders_total",
                    "outcome=\"" +
                        (outcome ? std::string(to_text(*outcome))
                                 : std::string("unknown")) +
                        "\"")
        .add();
    const auto planner = planners_.find(service.name);
    // An order without a response is absolute, so the next plan repeats it.
    const bool is_settled = outcome && *outcome != duty_result::busy;
    if (is_settled && planner != planners_.end())
        planner->second.record_order(change, outcome == duty_result::accepted,
                                     services_.core.now());
}

void capacity_service::log(const service_properties& service,
                           const capacity_change& change,
                           const std::string& outcome)
{
    const capacity_situation& situation = situations_[service.name];
    const auto planner = planners_.find(service.name);
    const bool is_accepted = outcome == to_text(duty_result::accepted);
    services_.core.journal().record(
        is_accepted ? event_number::capacity_ordered
                    : event_number::capacity_order_failed,
        {{"service", service.name},
         {"zone", change.availability_zone},
         {"kind", std::string(to_text(change.kind))},
         {"targets", std::to_string(change.targets)},
         {"present", std::to_string(change.present)},
         {"needed", planner != planners_.end()
                        ? std::to_string(planner->second.needed_targets())
                        : "unknown"},
         {"busy", situation.busy_targets
                      ? std::to_string(*situation.busy_targets)
                      : "unknown"},
         {"refused_fraction", std::to_string(situation.refused_fraction)},
         {"fencing_number", std::to_string(authority_.fencing_number())},
         {"outcome", outcome}});
}

} // namespace hibiscusferry
