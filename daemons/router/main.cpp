#include "router/router.hpp"

namespace
{

using namespace hibiscusferry;

result<void> add_services(process_core& core)
{
    return add_kernel_services<
        admin_service, platform_adapters, host_list_service, document_service,
        service_directory, load_poller, claim_service, caller_service>(core);
}

} // namespace

int main(int argc, char** argv)
{
    return daemon_main(argc, argv, "router", add_services);
}
