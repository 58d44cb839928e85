#include "runtime/platform/platform_service.hpp"

namespace hibiscusferry
{

namespace
{

http_endpoint endpoint_of(const address_setting& setting)
{
    return {setting.address, setting.port};
}

} // namespace

platform_service::platform_service(process_core& core)
    : table_(std::make_unique<http_table_store>(
          core.context(), core.connections(),
          endpoint_of(core.settings().table_service)))
    , objects_(std::make_unique<http_object_store>(
          core.context(), core.connections(),
          endpoint_of(core.settings().object_store)))
    , hosts_(std::make_unique<http_host_list>(
          core.context(), core.connections(),
          endpoint_of(core.settings().host_list)))
{
}

table_store& platform_service::table()
{
    return *table_;
}

object_store& platform_service::objects()
{
    return *objects_;
}

host_list& platform_service::hosts()
{
    return *hosts_;
}

result<void> platform_service::start()
{
    return outcome::success();
}

void platform_service::stop()
{
}

} // namespace hibiscusferry
