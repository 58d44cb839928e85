#include "storage/storage.hpp"

#include "storage/errors/platform_error.cpp"
#include "storage/host_list/http_host_list.cpp"
#include "storage/object_store/http_object_store.cpp"
#include "storage/service/platform_call.cpp"
#include "storage/table_store/http_table_store.cpp"
#include "storage/table_store/memory_table.cpp"
