#include "router/router.hpp"

namespace
{

using namespace hibiscusferry;

result<void> add_services(process_core& core)
{
    return add_kernel_services<
        admin_service, platform_adapters, host_list_service, peer_service,
        document_service, document_exchange, service_directory, load_poller,
        control_service, claim_service, caller_service>(core);
}

} // namespace

int main(int argc, char** argv)
{
    return daemon_main(argc, argv, "router", add_services);
}
