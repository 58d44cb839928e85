/** @file
    The serving module: decisions about the requests that one host handles.

    Covers route lookup, the catalogue of targets, the selection of prefill and
    decode engines, the refusal of requests and their retry delay, retry
    budgets, and the assignment of stages to engines. The classes receive events
    and the current time as parameters and perform no I/O. Depends on
    foundation, http (for addresses), routing (for roles) and sharing (for
    reported load).
*/
#ifndef HIBISCUSFERRY_SERVING_SERVING_HPP
#define HIBISCUSFERRY_SERVING_SERVING_HPP

#include "foundation/foundation.hpp"

#include "serving/capacity/capacity_planner.hpp"
#include "serving/catalogue/software_version_history.hpp"
#include "serving/catalogue/target_catalogue.hpp"
#include "serving/credentials/credential_check.hpp"
#include "serving/estimation/duration_model.hpp"
#include "serving/estimation/engine_performance.hpp"
#include "serving/health/observed_health.hpp"
#include "serving/limits/connection_allowance.hpp"
#include "serving/limits/controlled_delay.hpp"
#include "serving/limits/fleet_retry_budget.hpp"
#include "serving/limits/retry_delay.hpp"
#include "serving/limits/shared_request_limit.hpp"
#include "serving/model/fleet_configuration.hpp"
#include "serving/model/prefix_index.hpp"
#include "serving/model/prompt_info.hpp"
#include "serving/model/route_table.hpp"
#include "serving/model/target_record.hpp"
#include "serving/model/workspace_directory.hpp"
#include "serving/scheduling/decode_engine_selector.hpp"
#include "serving/scheduling/engine_scheduler.hpp"
#include "serving/scheduling/event_gap_estimate.hpp"
#include "serving/scheduling/generation_request.hpp"
#include "serving/scheduling/observed_delay.hpp"
#include "serving/scheduling/prefill_engine_selector.hpp"
#include "serving/scheduling/request_admissions.hpp"
#include "serving/scheduling/server_scheduler.hpp"
#include "serving/scheduling/target_registry.hpp"
#include "serving/scheduling/target_slowness.hpp"
#include "serving/stages/stage_planner.hpp"

#endif
