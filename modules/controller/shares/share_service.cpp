#include "controller/shares/share_service.hpp"

namespace hibiscusferry
{

share_service::share_service(process_core& core)
    : core_(core)
    , aggregator_(core.settings().host, stable_hash(core.id()), core.now())
{
}

result<void> share_service::start()
{
    const result<peer_service*> peers =
        core_.services().find<peer_service>(peer_service::name);
    const result<membership_service*> membership =
        core_.services().find<membership_service>(membership_service::name);
    if (!peers || !membership)
        return make_error_code(kernel_error::not_found);

    peers_ = peers.value();
    membership_ = membership.value();
    peers_->on(message_type::usage_report,
               [this](const std::string& process, const std::string& payload)
               {
                   const result<usage_report> report =
                       parse_usage_report(payload);
                   if (report)
                       handle_report(process, report.value());
               });
    peers_->on(message_type::demand_response,
               [this](const std::string&, const std::string& payload)
               {
                   const result<demand_response> answer =
                       parse_demand_answer(payload);
                   if (answer && answer.value().to_relay)
                       aggregator_.answer(answer.value(), core_.now());
               });
    core_.repeat(share_aggregator::tick_interval, [this] { tick(); });
    return outcome::success();
}

void share_service::stop()
{
}

void share_service::handle_report(const std::string& process,
                                  const usage_report& report)
{
    // A process may report only for its own host.
    if (report.host != host_of_process(process))
        return;
    if (!report.from_relay)
        routers_[report.host] = process;
    aggregator_.report(report, core_.now());
}

void share_service::tick()
{
    const membership_view& view = membership_->view();
    const share_layout layout(view.live_hosts(), core_.settings().host,
                              view.size());
    const share_messages messages = aggregator_.tick(layout, core_.now());
    for (const addressed_report& report : messages.reports)
    {
        if (report.to == core_.settings().host)
            aggregator_.report(report.report, core_.now());
        else
            peers_->send_to_host(report.to, message_type::usage_report,
                                 to_cbor(report.report));
    }
    for (const addressed_response& answer : messages.answers)
        send(answer);
}

void share_service::send(const addressed_response& message)
{
    if (!message.answer.to_relay)
    {
        const auto router = routers_.find(message.to);
        if (router != routers_.end())
            peers_->send(router->second, message_type::demand_response,
                         to_cbor(message.answer));
        return;
    }
    if (message.to == core_.settings().host)
        aggregator_.answer(message.answer, core_.now());
    else
        peers_->send_to_host(message.to, message_type::demand_response,
                             to_cbor(message.answer));
}

} // namespace hibiscusferry
