#include "router/limits/limit_service.hpp"

namespace hibiscusferry
{

limit_service::limit_service(process_core& core)
    : core_(core)
    , limits_(core.settings().host, stable_hash(core.id()), core.now())
    , layout_({}, core.settings().host, 1)
{
}

limit_decision limit_service::admit(const std::string& service,
                                    const std::string& workspace,
                                    queue_lane lane, double cost)
{
    return limits_.admit(service, workspace, lane, cost, core_.now());
}

result<void> limit_service::start()
{
    const result<peer_service*> peers =
        core_.services().find<peer_service>(peer_service::name);
    const result<document_service*> documents =
        core_.services().find<document_service>(document_service::name);
    const result<host_list_service*> hosts =
        core_.services().find<host_list_service>(host_list_service::name);
    if (!peers || !documents || !hosts)
        return make_error_code(kernel_error::not_found);

    peers_ = peers.value();
    documents.value()->on_change(
        [this](const std::string&, const service_document* document)
        {
            if (document != nullptr)
                limits_.configure(*document, core_.now());
        });
    hosts.value()->on_change(
        [this, list = hosts.value()](const host_list_snapshot&)
        { update_hosts(*list); });
    peers_->on(message_type::demand_response,
               [this](const std::string&, const std::string& payload)
               {
                   const result<demand_response> answer =
                       parse_demand_answer(payload);
                   if (answer && !answer.value().to_relay)
                       limits_.answer(answer.value(), core_.now());
               });
    core_.repeat(workspace_limits::report_interval, [this] { report(); });
    return outcome::success();
}

void limit_service::stop()
{
}

void limit_service::update_hosts(const host_list_service& hosts)
{
    std::vector<std::string> ids;
    for (const listed_host& host : hosts.entry_hosts())
        ids.push_back(host.id);
    limits_.hosts_changed(ids.size(), core_.now());
    const std::size_t host_count = ids.size();
    layout_ = share_layout(std::move(ids), core_.settings().host, host_count);
}

void limit_service::report()
{
    for (const addressed_report& message :
         limits_.reports(layout_, core_.now()))
        peers_->send_to_host(message.to, message_type::usage_report,
                             to_cbor(message.report));
}

} // namespace hibiscusferry
