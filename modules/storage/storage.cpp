#include "storage/storage.hpp"

#include "storage/errors/platform_error.cpp"
#include "storage/host_list/table_host_list.cpp"
#include "storage/table_store/memory_table.cpp"
