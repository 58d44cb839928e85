#include "gateway/state/fleet_state.hpp"

#include <algorithm>
#include <array>

namespace hibiscusferry
{

namespace
{

/** Number of live hosts assumed until the host table has been read, so that
   this host's share of fleet-wide limits starts small. */
constexpr std::size_t initial_live_hosts = 8;

event_number event_of(target_change::kind change)
{
    constexpr std::array<event_number, 5> numbers{
        event_number::target_added, event_number::target_updated,
        event_number::target_restarted, event_number::target_leaving,
        event_number::target_removed};
    return numbers[static_cast<std::size_t>(change)];
}

std::string_view stage_name(target_role stage)
{
    constexpr std::array<std::string_view, 3> names{"prefill", "decode",
                                                    "mixed"};
    return names[static_cast<std::size_t>(stage)];
}

} // namespace

fleet_state::fleet_state(process_core& core, const host_settings& settings)
    : core_(core)
    , settings_(settings)
    , catalogue_(settings.outage_grace)
    , software_versions_(settings.target_drain_time)
    , target_list_(core)
    , live_hosts_(initial_live_hosts)
{
}

const host_settings& fleet_state::settings() const
{
    return settings_;
}

void fleet_state::set_settings(const host_settings& settings)
{
    settings_ = settings;
    for (auto& [service, budget] : budgets_)
        budget.set(settings.retries);
}

std::shared_ptr<const route_table> fleet_state::routes() const
{
    return routes_;
}

void fleet_state::update_configuration(fleet_configuration configuration,
                                       const std::string& source,
                                       const update_delay& delay)
{
    const std::uint64_t version = configuration.version;
    if (routes_ && version <= routes_->configuration().version)
        return;
    for (const std::string& problem : configuration.problems)
        core_.journal().record(
            event_number::configuration_part_unreadable,
            {{"version", std::to_string(version)}, {"problem", problem}});
    core_.journal().record(
        event_number::configuration_taken,
        {{"version", std::to_string(version)},
         {"before",
          routes_ ? std::to_string(routes_->configuration().version) : "none"},
         {"routes", std::to_string(configuration.routes.size())},
         {"source", source},
         {"role", delay.is_relay ? "relay" : "follower"},
         {"age_before_ms", std::to_string(delay.age_before.count())},
         {"call_ms", std::to_string(delay.call_duration.count())},
         {"failed_calls", std::to_string(delay.failed_calls)},
         {"bytes", std::to_string(delay.row_bytes)},
         {"parse_ms", std::to_string(delay.parse_duration.count())}});
    if (configuration.workspaces)
    {
        core_.metrics()
            .gauge_of("hibiscusferry_workspaces")
            .set(static_cast<double>(
                configuration.workspaces->workspaces().size()));
        core_.metrics()
            .gauge_of("hibiscusferry_workspace_keys")
            .set(static_cast<double>(configuration.workspaces->key_count()));
    }
    retire_routes();
    routes_ = std::make_shared<const route_table>(std::move(configuration),
                                                  routes_.get());
}

void fleet_state::confirm_configuration(time_point as_of)
{
    if (!configuration_confirmed_at_ || as_of > *configuration_confirmed_at_)
        configuration_confirmed_at_ = as_of;
}

std::optional<time_point> fleet_state::configuration_confirmed_at() const
{
    return configuration_confirmed_at_;
}

configuration_lag& fleet_state::newer_configuration()
{
    return newer_configuration_;
}

bool fleet_state::is_configuration_overdue(time_point now) const
{
    return newer_configuration_.duration(now) >
           propagation_schedule::divide(settings_.max_configuration_delay,
                                        propagation_schedule::watched_table)
               .longest_delay();
}

bool fleet_state::will_refuse_credentials(time_point now) const
{
    return routes_ && routes_->configuration().workspaces &&
           will_be_unverified(configuration_confirmed_at_, now,
                              settings_.credentials());
}

void fleet_state::retire_routes()
{
    const time_point now = core_.now();
    former_routes_.erase(
        std::remove_if(former_routes_.begin(), former_routes_.end(),
                       [now](const former_routes& former)
                       { return former.last_stream_ends_at < now; }),
        former_routes_.end());
    if (!routes_)
        return;
    std::chrono::milliseconds time_limit{0};
    for (const std::shared_ptr<const route>& entry :
         routes_->configuration().routes)
    {
        if (entry->is_resumable)
            time_limit = std::max(time_limit, entry->time_limit);
    }
    former_routes_.push_back(
        {routes_, now + settings_.max_configuration_delay + time_limit});
}

std::chrono::milliseconds
fleet_state::longest_time_limit(std::string_view host,
                                std::string_view path) const
{
    std::chrono::milliseconds longest{0};
    const auto add = [&](const route_table& routes)
    {
        const route* const match = routes.find(host, path);
        if (match != nullptr)
            longest = std::max(longest, match->time_limit);
    };
    if (routes_)
        add(*routes_);
    for (const former_routes& former : former_routes_)
    {
        if (core_.now() <= former.last_stream_ends_at)
            add(*former.routes);
    }
    return longest;
}

target_registry& fleet_state::registry()
{
    return registry_;
}

target_catalogue& fleet_state::catalogue()
{
    return catalogue_;
}

bool fleet_state::has_target_list() const
{
    return has_target_list_;
}

void fleet_state::mark_target_list_received()
{
    has_target_list_ = true;
}

void fleet_state::confirm_target_list(time_point as_of)
{
    software_versions_.confirm_list(as_of);
    target_list_.confirm(as_of);
}

void fleet_state::mark_target_list_restored()
{
    software_versions_.restart_observation();
}

target_list_confirmation& fleet_state::target_list()
{
    return target_list_;
}

const software_version_history& fleet_state::software_versions() const
{
    return software_versions_;
}

void fleet_state::apply(const std::vector<target_change>& changes,
                        const std::string& source)
{
    for (const target_change& change : changes)
    {
        registry_.apply(change, !has_target_list_, core_.now());
        software_versions_.apply(change, core_.now());
        core_.journal().record(
            event_of(change.type),
            {{"target", change.record.id},
             {"service", change.record.service},
             {"address", change.record.endpoint.text()},
             {"zone", change.record.availability_zone},
             {"software_version", change.record.software_version},
             {"stage", std::string(stage_name(change.record.stage))},
             {"source", source}});
    }
}

void fleet_state::record_outcome(target_view& target, exchange_outcome outcome,
                                 const std::string& request_id)
{
    const time_point now = core_.now();
    const bool was_usable = target.health.is_usable(now);
    const bool was_probing = target.health.is_probing(now);
    target.health.record(outcome, now);
    const bool is_usable = target.health.is_usable(now);
    if (was_usable && !is_usable)
        core_.journal().record(
            event_number::target_suspect,
            {{"target", target.record.id},
             {"request", request_id},
             {"outcome", std::string(to_text(outcome))},
             {"failure_rate", std::to_string(target.health.failure_rate())}});
    if (was_probing && outcome == exchange_outcome::responded)
        core_.journal().record(
            event_number::target_back,
            {{"target", target.record.id}, {"request", request_id}});
}

void fleet_state::apply_notice(target_view& target, const target_notice& notice,
                               time_point sent_at)
{
    if (!notice.unreadable_limit.empty())
        core_.journal().record(
            event_number::target_limit_unreadable,
            {{"target", target.record.id}, {"limit", notice.unreadable_limit}});
    else if (target.request_limit.record_response(notice.request_limit, sent_at,
                                                  core_.now()))
        log_request_limit(target, "response");
    if (notice.is_leaving)
        apply(
            catalogue_.mark_leaving(target.record.id, target.record.started_at),
            "response");
    if (!notice.refuses_for)
        return;
    const time_point until = core_.now() + *notice.refuses_for;
    target.refuses_until = std::max(target.refuses_until, until);
    core_.journal().record(
        event_number::target_refuses,
        {{"target", target.record.id},
         {"for_ms", std::to_string(notice.refuses_for->count())}});
}

void fleet_state::apply_limit_reports(target_view& target,
                                      const request_limit_report* reports,
                                      std::size_t hosts)
{
    if (target.request_limit.apply_reports(reports, hosts, core_.now()))
        log_request_limit(target, "other hosts");
}

void fleet_state::log_request_limit(const target_view& target,
                                    const std::string& source)
{
    const std::optional<double> rate = target.request_limit.rate(core_.now());
    std::vector<event_field> fields{{"target", target.record.id},
                                    {"source", source}};
    if (rate)
        fields.push_back({"requests_per_second", std::to_string(*rate)});
    core_.journal().record(rate ? event_number::target_limited
                                : event_number::target_limit_ended,
                           std::move(fields));
}

fleet_retry_budget& fleet_state::budget(const std::string& service)
{
    const auto entry = budgets_.find(service);
    if (entry != budgets_.end())
        return entry->second;
    return budgets_.emplace(service, fleet_retry_budget(settings_.retries))
        .first->second;
}

void fleet_state::schedule_stop(time_point refuse_from,
                                time_point last_deadline)
{
    stop_ = {refuse_from, last_deadline};
}

bool fleet_state::will_stop_before(time_point deadline, time_point now) const
{
    return stop_ && now >= stop_->first && deadline > stop_->second;
}

engine_performance& fleet_state::performance(const std::string& service)
{
    return performance_[service];
}

refusal_meter& fleet_state::refusals(const std::string& service)
{
    return refusals_[service];
}

service_observations fleet_state::local_observations(time_point now) const
{
    service_observations observations;
    for (const auto& [service, performance] : performance_)
        observations[key_of_service(service)] = performance.local(now);
    return observations;
}

void fleet_state::set_remote_observations(
    const service_observations& observations, time_point now)
{
    for (auto& [service, performance] : performance_)
    {
        const auto entry = observations.find(key_of_service(service));
        if (entry != observations.end())
            performance.set_remote(entry->second, now);
    }
}

service_delays& fleet_state::delays(const std::string& service)
{
    return delays_[service];
}

std::size_t fleet_state::live_hosts() const
{
    return live_hosts_;
}

void fleet_state::set_live_hosts(std::size_t hosts)
{
    if (hosts == live_hosts_)
        return;
    core_.journal().record(event_number::live_hosts_changed,
                           {{"hosts", std::to_string(hosts)},
                            {"before", std::to_string(live_hosts_)}});
    live_hosts_ = hosts;
}

} // namespace hibiscusferry
