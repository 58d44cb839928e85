#include "controller/controller.hpp"

namespace
{

using namespace hibiscusferry;

result<void> add_services(process_core& core)
{
    return add_kernel_services<
        admin_service, platform_adapters, host_list_service, peer_service,
        document_service, document_exchange, membership_service, editor_service,
        operator_page, authority_directory>(core);
}

} // namespace

int main(int argc, char** argv)
{
    return daemon_main(argc, argv, "controller", add_services);
}
