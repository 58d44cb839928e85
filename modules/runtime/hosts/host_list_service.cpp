#include "runtime/hosts/host_list_service.hpp"

#include "runtime/platform/platform_adapters.hpp"
#include <algorithm>

namespace hibiscusferry
{

host_list_service::host_list_service(process_core& core)
    : core_(core)
{
}

void host_list_service::on_change(listener callback)
{
    listeners_.push_back(std::move(callback));
}

const host_list_snapshot& host_list_service::reading() const
{
    return snapshot_;
}

std::vector<listed_host> host_list_service::entry_hosts() const
{
    std::vector<listed_host> hosts;
    for (const listed_host& host : snapshot_.hosts)
    {
        if (host.kind == host_kind::entry)
            hosts.push_back(host);
    }
    std::sort(hosts.begin(), hosts.end(),
              [](const listed_host& left, const listed_host& right)
              { return left.id < right.id; });
    return hosts;
}

result<void> host_list_service::start()
{
    const result<platform_adapters*> platform =
        core_.services().find<platform_adapters>(platform_adapters::name);
    if (!platform)
        return platform.error();
    host_list_ = &platform.value()->hosts();
    core_.repeat(core_.settings().poll_interval, [this] { poll(); });
    return outcome::success();
}

void host_list_service::stop()
{
}

void host_list_service::poll()
{
    if (is_poll_in_flight_)
        return;
    is_poll_in_flight_ = true;
    host_list_->read(platform_adapters::call_timeout,
                     [this](const result<host_list_snapshot>& response)
                     { receive(response); });
}

void host_list_service::receive(const result<host_list_snapshot>& response)
{
    is_poll_in_flight_ = false;
    if (!response)
    {
        core_.metrics().counter_of("host_list_failures_total").add();
        return;
    }
    const bool is_older = response.value().revision < snapshot_.revision;
    if (is_older)
        return;
    snapshot_ = response.value();
    for (const listener& callback : listeners_)
        callback(snapshot_);
}

} // namespace hibiscusferry
