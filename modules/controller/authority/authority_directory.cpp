#include "controller/authority/authority_directory.hpp"

#include <nlohmann/json.hpp>

namespace hibiscusferry
{

namespace
{

constexpr std::chrono::milliseconds authority_tick_interval{100};

/** Returns a handler that parses a payload and passes it on when it is
    well-formed. */
template <class Message>
peer_service::handler
handler_of(result<Message> (*parse)(const std::string&),
           std::function<void(const std::string&, const Message&)> handle)
{
    return [parse, handle = std::move(handle)](const std::string& process,
                                               const std::string& payload)
    {
        const result<Message> message = parse(payload);
        if (message)
            handle(process, message.value());
    };
}

} // namespace

authority_directory::authority_directory(process_core& core)
    : core_(core)
{
}

result<void> authority_directory::start()
{
    const result<platform_adapters*> platform =
        core_.services().find<platform_adapters>(platform_adapters::name);
    const result<peer_service*> peers =
        core_.services().find<peer_service>(peer_service::name);
    const result<membership_service*> membership =
        core_.services().find<membership_service>(membership_service::name);
    const result<host_list_service*> hosts =
        core_.services().find<host_list_service>(host_list_service::name);
    const result<document_service*> documents =
        core_.services().find<document_service>(document_service::name);
    const result<admin_service*> admin =
        core_.services().find<admin_service>(admin_service::name);
    if (!platform || !peers || !membership || !hosts || !documents || !admin)
        return make_error_code(kernel_error::not_found);

    table_ = &platform.value()->table();
    peers_ = peers.value();
    membership_ = membership.value();
    hosts_ = hosts.value();
    documents.value()->on_change(
        [this](const std::string& service, const service_document* document)
        { update_document(service, document); });
    hosts_->on_change([this](const host_list_snapshot& snapshot)
                      { update_hosts(snapshot); });
    peers_->on(message_type::permission_request,
               handler_of<permission_request>(
                   parse_permission_request,
                   [this](const std::string& process,
                          const permission_request& request)
                   { handle_permission_request(process, request); }));
    peers_->on(message_type::stop_confirmation,
               handler_of<stop_confirmation>(
                   parse_stop_confirmation,
                   [this](const std::string&, const stop_confirmation& message)
                   { handle_confirmation(message); }));
    peers_->on(message_type::router_load,
               handler_of<service_load>(
                   parse_service_load,
                   [this](const std::string&, const service_load& message)
                   { handle_load(message); }));
    admin.value()->add_status("authority", [this] { return status(); });
    core_.repeat(authority_tick_interval, [this] { tick(); });
    return outcome::success();
}

void authority_directory::drain(std::function<void()> finished)
{
    for (const auto& [service, authority] : authorities_)
        authority->release();
    start_task(core_.context(),
               [this, finished](boost::asio::yield_context yield)
               {
                   bool is_settled = false;
                   while (!is_settled)
                   {
                       sleep_for(core_.context(), authority_tick_interval,
                                 yield);
                       is_settled = true;
                       for (const auto& [service, authority] : authorities_)
                           is_settled &= authority->is_settled();
                   }
                   finished();
               });
}

void authority_directory::stop()
{
}

void authority_directory::update_document(const std::string& service,
                                          const service_document* document)
{
    const auto existing = authorities_.find(service);
    const bool is_managed = document != nullptr &&
                            document->kind == service_kind::model &&
                            document->region == core_.settings().region;
    if (!is_managed)
    {
        // The authority is kept so that tick() can settle its writes.
        if (existing != authorities_.end())
            existing->second->release();
        return;
    }
    if (existing != authorities_.end())
    {
        existing->second->set_document(*document);
        return;
    }
    authorities_[service] =
        std::make_shared<service_authority>(core_, *table_, *this, *document);
    update_hosts(hosts_->reading());
}

void authority_directory::update_hosts(const host_list_snapshot& snapshot)
{
    for (const auto& [service, authority] : authorities_)
    {
        std::vector<listed_host> targets;
        for (const listed_host& host : snapshot.hosts)
        {
            if (host.kind == host_kind::model_server &&
                host.service == service &&
                host.region == core_.settings().region)
                targets.push_back(host);
        }
        authority->set_targets(targets);
    }
}

void authority_directory::tick()
{
    const std::vector<std::string> live =
        membership_->view().live_hosts(core_.settings().region);
    for (const auto& [service, authority] : authorities_)
    {
        authority->set_live_hosts(live);
        authority->tick();
    }
}

void authority_directory::announce(const std::string& service,
                                   const drain_announcement& announcement)
{
    // Routers learn from their next permission that a target accepts work
    // again.
    if (!announcement.stop_new_work)
        return;
    const auto router = router_processes_.find(announcement.router);
    if (router == router_processes_.end())
        return;
    const service_stop stop{
        service,
        {announcement.target,
         {announcement.version.fencing_number, announcement.version.sequence}}};
    peers_->send(router->second, message_type::stop_announcement,
                 to_cbor(stop));
}

void authority_directory::handle_permission_request(
    const std::string& process, const permission_request& request)
{
    const std::string router = host_of_process(process);
    router_processes_[router] = process;
    const auto authority = authorities_.find(request.service);
    if (authority == authorities_.end())
        return;
    const std::optional<permission_grant> grant =
        authority->second->permission_requested(router);
    if (!grant)
    {
        const holder_redirect redirect{request.request_id, request.service,
                                       authority->second->holder_host()};
        peers_->send(process, message_type::holder_redirect, to_cbor(redirect));
        return;
    }
    const permission_reply reply{
        request.request_id,
        {request.service,
         {grant->version.fencing_number, grant->version.sequence},
         grant->stopped_targets,
         grant->term}};
    peers_->send(process, message_type::routing_announcement, to_cbor(reply));
}

void authority_directory::handle_confirmation(
    const stop_confirmation& confirmation)
{
    const auto authority = authorities_.find(confirmation.service);
    if (authority != authorities_.end())
        authority->second->confirmed(
            {confirmation.router,
             confirmation.target,
             {confirmation.version.fencing_number,
              confirmation.version.sequence},
             static_cast<std::uint32_t>(confirmation.in_flight)});
}

void authority_directory::handle_load(const service_load& load)
{
    const auto authority = authorities_.find(load.service);
    if (authority != authorities_.end())
        authority->second->router_reported(load.report);
}

std::string authority_directory::status() const
{
    nlohmann::json page = nlohmann::json::array();
    for (const auto& [service, authority] : authorities_)
    {
        nlohmann::json unsettled = nlohmann::json::array();
        for (const unsettled_order& order : authority->unsettled())
            unsettled.push_back({{"target", order.record.target},
                                 {"order", order.record.order_id},
                                 {"state", to_text(order.record.state)},
                                 {"reason", order.reason}});
        page.push_back({{"service", service},
                        {"is_holder", authority->is_holder()},
                        {"holder", authority->holder_host()},
                        {"unsettled_orders", std::move(unsettled)}});
    }
    return page.dump();
}

} // namespace hibiscusferry
