/** @file
    The platform module: small adapters to what the platform gives.

    The transactional table service, the object store and the lagging list
    of hosts, each as an interface; the decisions of other modules speak only
    in the value types found here. The http_* classes speak the form of
    docs/INTERFACES.md. Depends on foundation and http.
*/
#ifndef HIBISCUSFERRY_PLATFORM_PLATFORM_HPP
#define HIBISCUSFERRY_PLATFORM_PLATFORM_HPP

#include "foundation/foundation.hpp"

#include "platform/errors/platform_error.hpp"
#include "platform/host_list/host_list.hpp"
#include "platform/host_list/http_host_list.hpp"
#include "platform/object_store/http_object_store.hpp"
#include "platform/object_store/object_store.hpp"
#include "platform/service/platform_service.hpp"
#include "platform/table_store/http_table_store.hpp"
#include "platform/table_store/memory_table.hpp"
#include "platform/table_store/table_store.hpp"
#include "platform/table_store/table_transaction.hpp"

#endif
