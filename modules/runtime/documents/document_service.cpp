#include "runtime/documents/document_service.hpp"

#include "runtime/admin/admin_service.hpp"
#include "runtime/hosts/host_list_service.hpp"
#include "runtime/platform/platform_adapters.hpp"
#include <nlohmann/json.hpp>

namespace hibiscusferry
{

namespace
{

constexpr std::chrono::milliseconds replica_tick_interval{100};

std::string rotation_text(rotation_state state)
{
    static const std::string names[] = {"starting", "current", "store_lost",
                                        "out_of_touch"};
    return names[static_cast<std::size_t>(state)];
}

} // namespace

document_service::document_service(process_core& core)
    : core_(core)
    , replica_(core.settings().host, core.settings().region,
               stable_hash(core.id()), replica_limits{})
{
}

void document_service::on_change(listener callback)
{
    listeners_.push_back(std::move(callback));
}

void document_service::set_query_sender(query_sender sender)
{
    sender_ = std::move(sender);
}

void document_service::receive_reply(const std::string& peer,
                                     const document_reply& reply)
{
    execute(replica_.reply_received(peer, reply, core_.now()));
}

void document_service::set_reachable_hosts(std::size_t hosts)
{
    replica_.set_reachable_hosts(hosts);
}

const service_document*
document_service::document(const std::string& service) const
{
    const auto entry = documents_.find(service);
    return entry == documents_.end() ? nullptr : &entry->second;
}

std::vector<std::string> document_service::names() const
{
    std::vector<std::string> service_names;
    for (const auto& [service, document] : documents_)
        service_names.push_back(service);
    return service_names;
}

const document_replica& document_service::replica() const
{
    return replica_;
}

result<void> document_service::start()
{
    const result<platform_adapters*> platform =
        core_.services().find<platform_adapters>(platform_adapters::name);
    const result<host_list_service*> hosts =
        core_.services().find<host_list_service>(host_list_service::name);
    const result<admin_service*> admin =
        core_.services().find<admin_service>(admin_service::name);
    if (!platform || !hosts || !admin)
        return make_error_code(kernel_error::not_found);

    table_ = &platform.value()->table();
    hosts.value()->on_change([this](const host_list_snapshot&)
                             { update_fleet(); });
    admin.value()->add_readiness_check(
        [this]() -> std::string
        {
            if (replica_.is_in_rotation())
                return {};
            return "documents: " + rotation_text(replica_.rotation());
        });
    admin.value()->add_status("documents", [this] { return status(); });
    core_.repeat(replica_tick_interval,
                 [this] { execute(replica_.tick(core_.now())); });
    return outcome::success();
}

void document_service::stop()
{
}

void document_service::update_fleet()
{
    const result<host_list_service*> hosts =
        core_.services().find<host_list_service>(host_list_service::name);
    std::vector<fleet_host> fleet;
    for (const listed_host& host : hosts.value()->entry_hosts())
        fleet.push_back({host.id, host.region});
    replica_.fleet_changed(fleet);
}

void document_service::execute(const document_replica::actions& actions)
{
    for (const replica_action& action : actions)
        std::visit([this](const auto& alternative) { execute(alternative); },
                   action);
}

void document_service::execute(const read_document_row& action)
{
    table_->read(action.key, platform_adapters::call_timeout,
                 [this, key = action.key](const result<table_row>& row)
                 { execute(replica_.row_read(key, row, core_.now())); });
}

void document_service::execute(const send_query& action)
{
    if (sender_)
        sender_(action.peer, action.query);
}

void document_service::execute(const document_activated& action)
{
    const std::string& service = action.document.service;
    if (action.document.text.empty())
    {
        documents_.erase(service);
        for (const listener& notify : listeners_)
            notify(service, nullptr);
        return;
    }
    const document_parse_result parse_result =
        parse_service_document(action.document.text, service);
    if (!parse_result.document)
    {
        // Documents are validated before they are accepted, so this one was
        // written by a newer version of the software.
        core_.journal().record(
            event_number::document_not_understood,
            {{"service", service},
             {"problem", parse_result.problems.front().text()}});
        return;
    }
    documents_[service] = *parse_result.document;
    for (const listener& notify : listeners_)
        notify(service, &documents_[service]);
}

void document_service::execute(const rotation_changed& action)
{
    core_.metrics()
        .gauge_of("documents_in_rotation")
        .set(replica_.is_in_rotation() ? 1 : 0);
    core_.journal().record(event_number::rotation_state_changed,
                           {{"host", core_.settings().host},
                            {"state", rotation_text(action.state)}});
}

void document_service::execute(const document_event& action)
{
    core_.journal().record(action.number,
                           {{"service", action.service},
                            {"version", std::to_string(action.version)},
                            {"detail", action.detail}});
}

std::string document_service::status() const
{
    nlohmann::json versions = nlohmann::json::object();
    for (const auto& [service, document] : documents_)
    {
        const document_record* const record = replica_.document(service);
        versions[service] = record == nullptr ? 0 : record->version;
    }
    return nlohmann::json{{"revision", replica_.revision()},
                          {"rotation", rotation_text(replica_.rotation())},
                          {"versions", versions}}
        .dump();
}

} // namespace hibiscusferry
