#ifndef HIBISCUSFERRY_STORAGE_ACCESS_STORAGE_ACCESS_HPP
#define HIBISCUSFERRY_STORAGE_ACCESS_STORAGE_ACCESS_HPP

#include "storage/host_list/host_list.hpp"
#include "storage/object_store/object_store.hpp"
#include "storage/table_store/table_store.hpp"
#include <memory>

namespace hibiscusferry
{

/** The storage services that a process uses. The host list may read through the
    table store, so it is declared last and destroyed first. */
struct storage_access
{
    std::unique_ptr<table_store> table;
    std::unique_ptr<object_store> objects;
    std::unique_ptr<host_list> hosts;
};

} // namespace hibiscusferry

#endif
