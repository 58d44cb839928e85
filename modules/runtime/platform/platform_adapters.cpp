#include "runtime/platform/platform_adapters.hpp"

namespace hibiscusferry
{

namespace
{

platform_service service_at(process_core& core, const address_setting& where)
{
    return {core.context(), core.connections(), {where.address, where.port}};
}

} // namespace

platform_adapters::platform_adapters(process_core& core)
    : table_(std::make_unique<http_table_store>(
          service_at(core, core.settings().table_service)))
    , objects_(std::make_unique<http_object_store>(
          service_at(core, core.settings().object_store)))
    , hosts_(std::make_unique<http_host_list>(
          service_at(core, core.settings().host_list)))
{
}

table_store& platform_adapters::table()
{
    return *table_;
}

object_store& platform_adapters::objects()
{
    return *objects_;
}

host_list& platform_adapters::hosts()
{
    return *hosts_;
}

result<void> platform_adapters::start()
{
    return outcome::success();
}

void platform_adapters::stop()
{
}

} // namespace hibiscusferry
