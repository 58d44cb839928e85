/** @file The authority module: which process may issue orders to a service's
    targets, and the orders themselves.

    Covers leases stored in the table service, fencing numbers raised at the
    targets, orders persisted as rows, and the drain that precedes a planned
    change.

    The module performs no I/O: every class takes events and the current time
    and returns what to read, write or send. All classes are to be used from a
    single thread. Depends on foundation, document and storage.
*/
#ifndef HIBISCUSFERRY_AUTHORITY_AUTHORITY_HPP
#define HIBISCUSFERRY_AUTHORITY_AUTHORITY_HPP

#include "document/document.hpp"
#include "foundation/foundation.hpp"
#include "storage/storage.hpp"

// The headers of the module, in order of dependency.
#include "authority/drain/drain_coordinator.hpp"
#include "authority/errors/authority_error.hpp"
#include "authority/fence/fence_raiser.hpp"
#include "authority/lease/lease_holder.hpp"
#include "authority/lease/lease_record.hpp"
#include "authority/lease/process_identity.hpp"
#include "authority/lease/regional_leases.hpp"
#include "authority/orders/order_book.hpp"
#include "authority/orders/order_record.hpp"
#include "authority/orders/weight_pacer.hpp"
#include "authority/store/settled_write.hpp"

#endif
