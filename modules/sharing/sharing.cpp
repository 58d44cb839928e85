#include "sharing/sharing.hpp"

#include "sharing/load/engine_observations.cpp"
#include "sharing/load/in_flight_load.cpp"
#include "sharing/load/load_aggregator.cpp"
#include "sharing/message/sharing_message.cpp"
#include "sharing/relay/relay_selector.cpp"
#include "sharing/replication/fleet_replicas.cpp"
#include "sharing/replication/table_replica.cpp"
