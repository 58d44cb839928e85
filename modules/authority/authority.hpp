/** @file
    The authority module: who may give orders, and the orders.

    Leases held in the table service, fencing numbers raised at the targets,
    orders as rows, and the drain that comes before a planned change.
    Decisions only, no I/O: every class takes events and the time and returns
    what to read, write or send. All are used from one thread. Depends on
    foundation, document and platform.
*/
#ifndef HIBISCUSFERRY_AUTHORITY_AUTHORITY_HPP
#define HIBISCUSFERRY_AUTHORITY_AUTHORITY_HPP

#include "document/document.hpp"
#include "foundation/foundation.hpp"
#include "storage/storage.hpp"

// The parts, in order of dependence.
#include "authority/drain/drain_coordinator.hpp"
#include "authority/errors/authority_error.hpp"
#include "authority/fence/fence_raiser.hpp"
#include "authority/lease/lease_holder.hpp"
#include "authority/lease/lease_record.hpp"
#include "authority/lease/process_identity.hpp"
#include "authority/orders/order_book.hpp"
#include "authority/orders/order_record.hpp"
#include "authority/orders/weight_pacer.hpp"
#include "authority/store/settled_write.hpp"

#endif
