#include "runtime/hosts/host_list_service.hpp"

#include "runtime/platform/platform_adapters.hpp"
#include <algorithm>

namespace hibiscusferry
{

host_list_service::host_list_service(process_core& core)
    : core_(core)
{
}

void host_list_service::on_change(listener function)
{
    listeners_.push_back(std::move(function));
}

const host_list_snapshot& host_list_service::reading() const
{
    return reading_;
}

std::vector<listed_host> host_list_service::entry_hosts() const
{
    std::vector<listed_host> hosts;
    for (const listed_host& host : reading_.hosts)
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
    list_ = &platform.value()->hosts();
    core_.repeat(core_.settings().poll_interval, [this] { poll(); });
    return outcome::success();
}

void host_list_service::stop()
{
}

void host_list_service::poll()
{
    if (is_asking_)
        return;
    is_asking_ = true;
    list_->read(platform_adapters::call_timeout,
                [this](const result<host_list_snapshot>& answer)
                { take(answer); });
}

void host_list_service::take(const result<host_list_snapshot>& answer)
{
    is_asking_ = false;
    if (!answer)
    {
        core_.metrics().counter_of("host_list_failures_total").add();
        return;
    }
    const bool is_older = answer.value().revision < reading_.revision;
    if (is_older)
        return;
    reading_ = answer.value();
    for (const listener& function : listeners_)
        function(reading_);
}

} // namespace hibiscusferry
