/** @file
    The sharing module: what the hosts of a fleet tell each other.

    Each host reports its load at every target to the relay of its
    availability zone, and relays exchange the sums of their zones; answers
    carry the load of all others and the versions of the rows that the relay
    has read. So few hosts read the table service, and each knows what all of
    them have under way. Plain classes that take events and a time: no I/O
    and no clock. Depends on foundation and storage (for rows).
*/
#ifndef HIBISCUSFERRY_SHARING_SHARING_HPP
#define HIBISCUSFERRY_SHARING_SHARING_HPP

#include "foundation/foundation.hpp"

#include "sharing/load/in_flight_load.hpp"
#include "sharing/load/load_aggregator.hpp"
#include "sharing/message/sharing_message.hpp"
#include "sharing/relay/relay_selector.hpp"
#include "sharing/replication/fleet_replicas.hpp"
#include "sharing/replication/table_replica.hpp"

#endif
