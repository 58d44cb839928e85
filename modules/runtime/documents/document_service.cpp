#include "runtime/documents/document_service.hpp"

#include "runtime/admin/admin_service.hpp"
#include "runtime/hosts/host_list_service.hpp"
#include "runtime/platform/platform_adapters.hpp"
#include <nlohmann/json.hpp>

namespace hibiscusferry
{

namespace
{

constexpr std::chrono::milliseconds replica_tick{100};

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

void document_service::on_change(listener function)
{
    listeners_.push_back(std::move(function));
}

void document_service::send_queries_by(query_sender sender)
{
    sender_ = std::move(sender);
}

void document_service::take_reply(const std::string& peer,
                                  const document_reply& reply)
{
    carry_out(replica_.reply_received(peer, reply, core_.now()));
}

void document_service::take_reachable(std::size_t hosts)
{
    replica_.set_reachable_hosts(hosts);
}

const service_document*
document_service::document(const std::string& service) const
{
    const auto found = documents_.find(service);
    return found == documents_.end() ? nullptr : &found->second;
}

std::vector<std::string> document_service::names() const
{
    std::vector<std::string> found;
    for (const auto& [service, document] : documents_)
        found.push_back(service);
    return found;
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
                             { take_fleet(); });
    admin.value()->add_readiness_check(
        [this]() -> std::string
        {
            if (replica_.is_in_rotation())
                return {};
            return "documents: " + rotation_text(replica_.rotation());
        });
    admin.value()->add_status("documents", [this] { return status(); });
    core_.repeat(replica_tick,
                 [this] { carry_out(replica_.tick(core_.now())); });
    return outcome::success();
}

void document_service::stop()
{
}

void document_service::take_fleet()
{
    const result<host_list_service*> hosts =
        core_.services().find<host_list_service>(host_list_service::name);
    std::vector<fleet_host> fleet;
    for (const listed_host& host : hosts.value()->entry_hosts())
        fleet.push_back({host.id, host.region});
    replica_.fleet_changed(fleet);
}

void document_service::carry_out(const document_replica::actions& wanted)
{
    for (const replica_action& action : wanted)
        std::visit([this](const auto& step) { carry_out(step); }, action);
}

void document_service::carry_out(const read_document_row& wanted)
{
    table_->read(wanted.key, platform_adapters::call_limit,
                 [this, key = wanted.key](const result<table_row>& answer)
                 { carry_out(replica_.row_read(key, answer, core_.now())); });
}

void document_service::carry_out(const send_query& wanted)
{
    if (sender_)
        sender_(wanted.peer, wanted.query);
}

void document_service::carry_out(const document_activated& wanted)
{
    const std::string& service = wanted.document.service;
    if (wanted.document.text.empty())
    {
        documents_.erase(service);
        for (const listener& function : listeners_)
            function(service, nullptr);
        return;
    }
    const document_parse_result reading =
        parse_service_document(wanted.document.text, service);
    if (!reading.document)
    {
        // Checked before it was accepted, so written by a newer version.
        core_.journal().record(event_number::document_not_understood,
                               {{"service", service},
                                {"problem", reading.problems.front().text()}});
        return;
    }
    documents_[service] = *reading.document;
    for (const listener& function : listeners_)
        function(service, &documents_[service]);
}

void document_service::carry_out(const rotation_changed& wanted)
{
    core_.metrics()
        .gauge_of("documents_in_rotation")
        .set(replica_.is_in_rotation() ? 1 : 0);
    core_.journal().record(event_number::rotation_state_changed,
                           {{"host", core_.settings().host},
                            {"state", rotation_text(wanted.state)}});
}

void document_service::carry_out(const document_event& wanted)
{
    core_.journal().record(wanted.number,
                           {{"service", wanted.service},
                            {"version", std::to_string(wanted.version)},
                            {"detail", wanted.detail}});
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
