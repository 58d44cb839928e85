#include "platform/platform.hpp"

#include "platform/errors/platform_error.cpp"
#include "platform/host_list/http_host_list.cpp"
#include "platform/object_store/http_object_store.cpp"
#include "platform/service/platform_call.cpp"
#include "platform/table_store/http_table_store.cpp"
#include "platform/table_store/memory_table.cpp"
