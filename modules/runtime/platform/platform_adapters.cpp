#include "runtime/platform/platform_adapters.hpp"

namespace hibiscusferry
{

platform_adapters::platform_adapters(storage_access access)
    : access_(std::move(access))
{
}

table_store& platform_adapters::table()
{
    return *access_.table;
}

object_store& platform_adapters::objects()
{
    return *access_.objects;
}

host_list& platform_adapters::hosts()
{
    return *access_.hosts;
}

result<void> platform_adapters::start()
{
    return outcome::success();
}

void platform_adapters::stop()
{
}

http_endpoint table_service_endpoint(const process_core& core)
{
    const address_setting& service_address = core.settings().table_service;
    return {service_address.address, service_address.port};
}

} // namespace hibiscusferry
