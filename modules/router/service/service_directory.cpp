#include "router/service/service_directory.hpp"

#include <nlohmann/json.hpp>

namespace hibiscusferry
{

namespace
{

nlohmann::json target_json(const target_entry& entry, std::size_t in_flight)
{
    static const std::string roles[] = {"prefill", "decode", "mixed"};
    static const std::string states[] = {"serving", "changing", "leaving"};
    static const std::string healths[] = {"healthy", "suspect", "out"};
    return {{"target", entry.address.id},
            {"availability_zone", entry.address.availability_zone},
            {"role", roles[static_cast<std::size_t>(entry.role)]},
            {"state", states[static_cast<std::size_t>(entry.state)]},
            {"health", healths[static_cast<std::size_t>(entry.health)]},
            {"in_flight", in_flight}};
}

} // namespace

service_directory::service_directory(process_core& core)
    : core_(core)
{
}

std::shared_ptr<served_service>
service_directory::find(const std::string& service) const
{
    const auto entry = services_.find(service);
    return entry == services_.end() ? nullptr : entry->second;
}

std::vector<std::shared_ptr<served_service>> service_directory::all() const
{
    std::vector<std::shared_ptr<served_service>> services;
    for (const auto& [service, served] : services_)
        services.push_back(served);
    return services;
}

result<void> service_directory::start()
{
    const result<document_service*> documents =
        core_.services().find<document_service>(document_service::name);
    const result<host_list_service*> hosts =
        core_.services().find<host_list_service>(host_list_service::name);
    const result<admin_service*> admin =
        core_.services().find<admin_service>(admin_service::name);
    if (!documents || !hosts || !admin)
        return make_error_code(kernel_error::not_found);

    hosts_ = hosts.value();
    documents.value()->on_change(
        [this](const std::string& service, const service_document* document)
        { update_document(service, document); });
    hosts_->on_change(
        [this](const host_list_snapshot& snapshot)
        {
            for (const auto& [service, served] : services_)
                served->update_hosts(snapshot, core_.now());
        });
    admin.value()->add_status("services", [this] { return status(); });
    return outcome::success();
}

void service_directory::stop()
{
}

void service_directory::update_document(const std::string& service,
                                        const service_document* document)
{
    if (document == nullptr)
    {
        services_.erase(service);
        return;
    }
    const std::shared_ptr<served_service> existing = find(service);
    const bool is_same_kind =
        existing && existing->document().kind == document->kind;
    if (is_same_kind)
    {
        existing->configure(*document);
        return;
    }
    const std::shared_ptr<served_service> served =
        std::make_shared<served_service>(core_, *document);
    served->update_hosts(hosts_->reading(), core_.now());
    services_[service] = served;
}

std::string service_directory::status() const
{
    nlohmann::json page = nlohmann::json::array();
    for (const auto& [service, served] : services_)
    {
        nlohmann::json targets = nlohmann::json::array();
        for (const target_entry& entry : served->targets().targets())
            targets.push_back(target_json(
                entry, served->targets().in_flight(entry.address.id)));
        page.push_back({{"service", service},
                        {"running", served->gate().running()},
                        {"waiting", served->gate().queue().size()},
                        {"targets", std::move(targets)}});
    }
    return page.dump();
}

} // namespace hibiscusferry
