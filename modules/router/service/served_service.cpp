#include "router/service/served_service.hpp"

#include <algorithm>

namespace hibiscusferry
{

namespace
{

selector_settings selector_settings_of(const process_core& core)
{
    selector_settings settings;
    settings.availability_zone = core.settings().availability_zone;
    return settings;
}

target_table_settings table_settings_of(const service_document& document)
{
    target_table_settings settings;
    settings.target_concurrency = document.limits.target_concurrency;
    return settings;
}

target_address to_target_address(const listed_host& host)
{
    return {host.id, host.availability_zone, host.address, host.port,
            host.state == host_state::leaving};
}

} // namespace

served_service::served_service(process_core& core,
                               const service_document& document)
    : core_(core)
    , document_(document)
    , gate_(core.context(), [this] { return capacity(core_.now()); })
    , estimator_(document.kind)
    , retries_(document.limits.retry_percent)
    , targets_(core.settings().host, table_settings_of(document))
    , selector_(selector_settings_of(core),
                stable_hash(core.id() + document.service))
    , permission_(core.settings().host, document.service)
    , started_(core.now())
{
    load_.router = core.settings().host;
    load_.incarnation = stable_hash(core.id());
    load_.model = document.models.empty() ? "" : document.models.front();
    gate_.configure(document_);
}

void served_service::configure(const service_document& document)
{
    document_ = document;
    retries_.configure(document.limits.retry_percent);
    gate_.configure(document_);
    gate_.capacity_changed();
}

void served_service::update_hosts(const host_list_snapshot& snapshot,
                                  time_point now)
{
    std::vector<std::string> routers;
    std::vector<target_address> targets;
    for (const listed_host& host : snapshot.hosts)
    {
        if (host.kind == host_kind::entry)
            routers.push_back(host.id);
        else if (host.service == document_.service)
            targets.push_back(to_target_address(host));
    }
    const bool lists_this_router =
        std::find(routers.begin(), routers.end(), core_.settings().host) !=
        routers.end();
    if (!lists_this_router)
        routers.push_back(core_.settings().host);
    router_count_ = routers.size();
    targets_.set_targets(routers, targets, now);
    gate_.capacity_changed();
}

std::size_t served_service::capacity(time_point now) const
{
    // The document limits a target's requests over all routers. Each router
    // takes an equal share, and at least one request so that no router is
    // left without capacity.
    const std::size_t capacity_per_target = std::max<std::size_t>(
        1, document_.limits.target_concurrency / router_count_);
    std::size_t total_capacity = 0;
    for (const target_entry& entry : targets_.targets())
    {
        const bool is_permitted = required_permission() == nullptr ||
                                  permission_.check(entry.address.id, now) ==
                                      permission_verdict::permitted;
        if (is_permitted && targets_.can_take_work(entry, now))
            total_capacity += capacity_per_target;
    }
    return total_capacity;
}

const service_document& served_service::document() const
{
    return document_;
}

const std::string& served_service::name() const
{
    return document_.service;
}

admission_gate& served_service::gate()
{
    return gate_;
}

cost_estimator& served_service::estimator()
{
    return estimator_;
}

retry_budget& served_service::retries()
{
    return retries_;
}

target_table& served_service::targets()
{
    return targets_;
}

target_selector& served_service::selector()
{
    return selector_;
}

send_permission& served_service::permission()
{
    return permission_;
}

const send_permission* served_service::required_permission() const
{
    return document_.kind == service_kind::model ? &permission_ : nullptr;
}

router_load_report served_service::load_report() const
{
    router_load_report report = load_;
    report.uptime = std::chrono::duration_cast<std::chrono::milliseconds>(
        core_.now() - started_);
    return report;
}

void served_service::request_offered(std::uint64_t prefill_tokens)
{
    ++load_.offered_requests;
    load_.offered_prefill_tokens += prefill_tokens;
}

void served_service::request_refused()
{
    ++load_.refused_requests;
}

void served_service::request_finished(std::uint64_t decoded_tokens)
{
    ++load_.finished_requests;
    load_.decoded_tokens += decoded_tokens;
}

std::optional<http_endpoint>
served_service::endpoint_of(const std::string& target) const
{
    const target_entry* const entry = targets_.find(target);
    if (entry == nullptr)
        return std::nullopt;
    return http_endpoint{entry->address.address, entry->address.port};
}

} // namespace hibiscusferry
