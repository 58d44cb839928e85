/** @file The routing module: selects the target that serves a request.

    Contains the targets known to a router and its permission to send to them,
    the selection among them, the attempts of each request, the assembly of a
    stream from several connections, and the health of connections.

    The module makes decisions and performs no I/O. Depends on foundation and
    document.
*/
#ifndef HIBISCUSFERRY_ROUTING_ROUTING_HPP
#define HIBISCUSFERRY_ROUTING_ROUTING_HPP

#include "document/document.hpp"
#include "foundation/foundation.hpp"

#include "routing/attempts/attempt_ledger.hpp"
#include "routing/choice/prefix_key.hpp"
#include "routing/choice/prefix_popularity.hpp"
#include "routing/choice/routing_error.hpp"
#include "routing/choice/target_selector.hpp"
#include "routing/connections/connection_health.hpp"
#include "routing/streams/stream_assembler.hpp"
#include "routing/targets/in_flight_work.hpp"
#include "routing/targets/send_permission.hpp"
#include "routing/targets/target.hpp"
#include "routing/targets/target_subset.hpp"
#include "routing/targets/target_table.hpp"

#endif
