/** @file
    The storage module: small adapters to what the platform gives.

    The transactional table service, the object store and the lagging list
    of hosts, each as an interface; the decisions of other modules speak only
    in the value types found here. The adapter in platform/ implements them.
    Depends on foundation and http.
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
