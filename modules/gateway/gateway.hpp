/** @file
    The gateway module: one process that serves callers on an entry host.

    It follows the fleet's state in the table service, carries requests to
    targets and their answers back, and orders engines to change their stage.
    The decisions are those of the serving module; what callers, targets,
    operators and the host speak is behind the interfaces in protocol/.
    Depends on process, serving, sharing, storage, http and authority.
*/
#ifndef HIBISCUSFERRY_GATEWAY_GATEWAY_HPP
#define HIBISCUSFERRY_GATEWAY_GATEWAY_HPP

#include "gateway/process/gateway_service.hpp"
#include "gateway/process/metrics_service.hpp"
#include "gateway/process/settings_watch.hpp"
#include "gateway/protocol/caller_protocol.hpp"
#include "gateway/protocol/fleet_records.hpp"
#include "gateway/protocol/host_settings.hpp"
#include "gateway/protocol/target_protocol.hpp"
#include "gateway/request/request_context.hpp"
#include "gateway/request/request_forwarder.hpp"
#include "gateway/request/target_exchange.hpp"
#include "gateway/sharing/load_exchange.hpp"
#include "gateway/stages/stage_controller.hpp"
#include "gateway/state/fleet_state.hpp"
#include "gateway/state/host_roster.hpp"
#include "gateway/state/state_follower.hpp"
#include "gateway/state/store_link.hpp"

#endif
