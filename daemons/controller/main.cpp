#include "controller/controller.hpp"
#include "platform/platform_adapter.hpp"

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
    return add_kernel_services<
        admin_service, host_list_service, peer_service, document_service,
        document_exchange, membership_service, editor_service, operator_page,
        authority_directory, share_service>(core);
}

} // namespace

int main(int argc, char** argv)
{
    return daemon_main(argc, argv, "controller", add_services);
}
