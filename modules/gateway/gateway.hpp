/** @file
    The gateway module: the process that serves callers on an entry host.

    It replicates the fleet's state from the table service, forwards requests
    to targets and relays their responses, and orders engines to change their
    stage. Requests that a busy host reads too late are refused before they are
    parsed, and prompts that crash targets are withheld, on the evidence of all
    hosts. The decisions themselves are made by the serving module. The
   protocols of callers, targets, operators and the host are behind the
   interfaces in protocol/. Depends on process, serving, sharing, storage, http
   and authority.
*/
#ifndef HIBISCUSFERRY_GATEWAY_GATEWAY_HPP
#define HIBISCUSFERRY_GATEWAY_GATEWAY_HPP

#include "gateway/authority/fleet_authority.hpp"
#include "gateway/crashes/crash_directory.hpp"
#include "gateway/crashes/quarantine_page.hpp"
#include "gateway/crashes/request_fingerprint.hpp"
#include "gateway/crashes/request_quarantine.hpp"
#include "gateway/duties/capacity_service.hpp"
#include "gateway/duties/duty_caller.hpp"
#include "gateway/duties/usage_recorder.hpp"
#include "gateway/duties/usage_reporter.hpp"
#include "gateway/duties/usage_service.hpp"
#include "gateway/process/gateway_service.hpp"
#include "gateway/process/listener_limits.hpp"
#include "gateway/process/metrics_service.hpp"
#include "gateway/process/request_intake.hpp"
#include "gateway/process/settings_watch.hpp"
#include "gateway/process/stop_schedule.hpp"
#include "gateway/protocol/caller_protocol.hpp"
#include "gateway/protocol/duty_protocol.hpp"
#include "gateway/protocol/fleet_records.hpp"
#include "gateway/protocol/host_settings.hpp"
#include "gateway/protocol/target_protocol.hpp"
#include "gateway/request/request_context.hpp"
#include "gateway/request/request_forwarder.hpp"
#include "gateway/request/response_evidence.hpp"
#include "gateway/request/response_memory.hpp"
#include "gateway/request/target_exchange.hpp"
#include "gateway/sharing/datagram_channel.hpp"
#include "gateway/sharing/load_exchange.hpp"
#include "gateway/stages/stage_controller.hpp"
#include "gateway/state/configuration_lag.hpp"
#include "gateway/state/fleet_state.hpp"
#include "gateway/state/host_directory.hpp"
#include "gateway/state/peer_directory.hpp"
#include "gateway/state/state_follower.hpp"
#include "gateway/state/store_monitor.hpp"
#include "gateway/state/table_reader.hpp"
#include "gateway/state/target_list_confirmation.hpp"
#include "gateway/state/update_fetcher.hpp"
#include "gateway/streams/stream_progress.hpp"
#include "gateway/streams/stream_version_directory.hpp"
#include "gateway/streams/stream_versions.hpp"

#endif
