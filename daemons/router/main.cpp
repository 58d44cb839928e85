#include "platform/platform_adapter.hpp"
#include "router/router.hpp"

namespace
{

using namespace hibiscusferry;

result<void> add_services(process_core& core)
{
    const result<void> storage = core.services().add(
        platform_adapters::name,
        std::make_unique<platform_adapters>(platform::open_storage(
            core.context(), core.connections(), table_service_endpoint(core))));
    if (!storage)
        return storage;
    return add_kernel_services<admin_service, host_list_service, peer_service,
                               document_service, document_exchange,
                               service_directory, load_poller, control_service,
                               limit_service, claim_service, caller_service>(
        core);
}

} // namespace

int main(int argc, char** argv)
{
    return daemon_main(argc, argv, "router", add_services);
}
