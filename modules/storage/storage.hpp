/** @file
    The storage module: interfaces to the storage services of the platform.

    It declares the transactional table service, the object store and the
    eventually consistent list of hosts. The decision logic of other modules
    uses only the value types declared here; the adapter in platform/
    implements the interfaces. The module depends on foundation and http.
*/
#ifndef HIBISCUSFERRY_STORAGE_STORAGE_HPP
#define HIBISCUSFERRY_STORAGE_STORAGE_HPP

#include "foundation/foundation.hpp"

#include "storage/access/storage_access.hpp"
#include "storage/errors/platform_error.hpp"
#include "storage/host_list/host_list.hpp"
#include "storage/host_list/table_host_list.hpp"
#include "storage/object_store/object_store.hpp"
#include "storage/table_store/memory_table.hpp"
#include "storage/table_store/table_feed.hpp"
#include "storage/table_store/table_store.hpp"
#include "storage/table_store/table_transaction.hpp"

#endif
