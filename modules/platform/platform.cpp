#include "platform/platform.hpp"

#include "platform/errors/platform_error.cpp"
#include "platform/table_store/memory_table.cpp"
