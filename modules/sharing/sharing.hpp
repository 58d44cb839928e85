/** @file
    The sharing module: the exchange of load and table updates between the
    hosts of a fleet.

    Each host reports its load at every target to the relay of its
    availability zone, and the relays exchange the sums of their zones.
    Responses carry the load of all other hosts and the table versions that
    the relay has read. Only few hosts therefore read the table service, while
    each host knows the in-flight load of the whole fleet.

    With the loads, hosts exchange what they send to targets that have stated a
    limit on their requests, and would send without it.

    Large rows are compressed, with the value that the receiving host has as the
    dictionary, so that a transfer takes as long as the change is large.

    The host that begins a resumable stream sends the software version of its
    target to a few hosts, which other hosts ask when the stream is resumed.

    Crashes of targets are recorded by the blocks of the prompts that they were
    beginning to respond to. Hosts merge their records, so that each of them
    knows which blocks crash targets.

    Hosts count the requests of workspaces by windows of an agreed time, and
    send the counts to the one host that merges and reports them.

    The classes receive events and the current time as arguments; they perform
    no I/O and read no clock. The module depends on foundation and storage (for
    table rows).
*/
#ifndef HIBISCUSFERRY_SHARING_SHARING_HPP
#define HIBISCUSFERRY_SHARING_SHARING_HPP

#include "foundation/foundation.hpp"

#include "sharing/crashes/crash_evidence.hpp"
#include "sharing/crashes/crash_message.hpp"
#include "sharing/limits/request_limit_report.hpp"
#include "sharing/load/aggregated_loads.hpp"
#include "sharing/load/engine_observations.hpp"
#include "sharing/load/in_flight_load.hpp"
#include "sharing/load/load_aggregator.hpp"
#include "sharing/message/sharing_message.hpp"
#include "sharing/message/text_delta.hpp"
#include "sharing/relay/relay_selector.hpp"
#include "sharing/replication/fleet_replicas.hpp"
#include "sharing/replication/former_rows.hpp"
#include "sharing/replication/propagation_schedule.hpp"
#include "sharing/replication/row_compressor.hpp"
#include "sharing/replication/table_replica.hpp"
#include "sharing/streams/record_host_selector.hpp"
#include "sharing/streams/stream_version_message.hpp"
#include "sharing/streams/stream_version_store.hpp"
#include "sharing/usage/fleet_clock.hpp"
#include "sharing/usage/usage_collector.hpp"
#include "sharing/usage/usage_counter.hpp"
#include "sharing/usage/usage_message.hpp"

#endif
