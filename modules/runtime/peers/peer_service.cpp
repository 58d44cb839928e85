#include "runtime/peers/peer_service.hpp"

#include "runtime/hosts/host_list_service.hpp"
#include <glog/logging.h>

namespace hibiscusferry
{

namespace
{

peer_settings transport_settings_for(const process_core& core)
{
    const process_settings& process = core.settings();
    peer_settings settings;
    settings.self.id = core.id();
    settings.self.incarnation = 1;
    settings.self.endpoint = {process.peers.address, process.peers.port};
    settings.listen = settings.self.endpoint;
    settings.shared_key = process.peer_key;
    return settings;
}

} // namespace

std::string host_of_process(const std::string& process)
{
    return process.substr(0, process.find('/'));
}

peer_service::peer_service(process_core& core)
    : core_(core)
{
}

void peer_service::on(const std::string& type, handler callback)
{
    transport_->on_message(type,
                           [this, callback = std::move(callback)](
                               const received_peer_message& received)
                           {
                               core_.journal().observe(received.time);
                               callback(received.sender.id,
                                        received.message.payload);
                           });
}

void peer_service::send(const std::string& process, const std::string& type,
                        const std::string& payload)
{
    count_failed_send(
        transport_->send_to(process, peer_message{type, payload}));
}

void peer_service::send_to_host(const std::string& host,
                                const std::string& type,
                                const std::string& payload)
{
    const auto host_entry = host_endpoints_.find(host);
    if (host_entry != host_endpoints_.end())
        count_failed_send(
            transport_->send(host_entry->second, peer_message{type, payload}));
}

void peer_service::send_to_any_controller(const std::string& type,
                                          const std::string& payload)
{
    const std::vector<address_setting>& addresses =
        core_.settings().controllers;
    if (addresses.empty())
        return;
    const address_setting& controller =
        addresses[controller_index_ % addresses.size()];
    count_failed_send(transport_->send({controller.address, controller.port},
                                       peer_message{type, payload}));
}

void peer_service::try_next_controller()
{
    ++controller_index_;
}

result<void> peer_service::start()
{
    const result<host_list_service*> hosts =
        core_.services().find<host_list_service>(host_list_service::name);
    if (!hosts)
        return hosts.error();
    result<std::unique_ptr<peer_transport>> create_result =
        peer_transport::create(core_.context(), core_.time(), core_.journal(),
                               transport_settings_for(core_));
    if (!create_result)
        return create_result.error();
    transport_ = std::move(create_result.value());
    const result<void> start_result = transport_->start();
    if (!start_result)
    {
        LOG(ERROR) << "cannot listen on the peer address "
                   << core_.settings().peers.address << ":"
                   << core_.settings().peers.port;
        return start_result.error();
    }
    hosts.value()->on_change(
        [this](const host_list_snapshot& snapshot)
        {
            host_endpoints_.clear();
            for (const listed_host& host : snapshot.hosts)
            {
                if (host.kind == host_kind::entry)
                    host_endpoints_[host.id] = {host.address, host.port};
            }
        });
    core_.repeat(std::chrono::seconds(1), [this] { update_traffic_metrics(); });
    return outcome::success();
}

void peer_service::stop()
{
    transport_->stop();
}

void peer_service::count_failed_send(const result<void>& sent)
{
    if (!sent)
        core_.metrics().counter_of("peer_sends_failed_total").add();
}

void peer_service::update_traffic_metrics()
{
    metrics_registry& metrics = core_.metrics();
    metrics.gauge_of("peer_bytes_sent")
        .set(static_cast<double>(transport_->bytes_sent()));
    metrics.gauge_of("peer_bytes_received")
        .set(static_cast<double>(transport_->bytes_received()));
    metrics.gauge_of("peer_messages_dropped")
        .set(static_cast<double>(transport_->messages_dropped()));
}

} // namespace hibiscusferry
