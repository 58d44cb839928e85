#include "runtime/runtime.hpp"

#include "runtime/admin/admin_service.cpp"
#include "runtime/documents/document_service.cpp"
#include "runtime/hosts/host_list_service.cpp"
#include "runtime/platform/platform_adapters.cpp"
#include "runtime/process/daemon_main.cpp"
#include "runtime/process/process_core.cpp"
