#include "runtime/runtime.hpp"

#include "runtime/admin/admin_service.cpp"
#include "runtime/documents/document_exchange.cpp"
#include "runtime/documents/document_service.cpp"
#include "runtime/hosts/host_list_service.cpp"
#include "runtime/messages/peer_messages.cpp"
#include "runtime/peers/peer_service.cpp"
#include "runtime/platform/platform_adapters.cpp"
