/** @file
    The serving module: decisions on the way of a request through one host.

    Which route a request takes, which targets there are, where a prompt is
    read and where it is decoded, what is refused and when the caller may come
    back, how often requests may be sent again, and which stage each engine
    serves. Plain classes that take events and a time: no I/O and no clock.
    Depends on foundation, http (for addresses) and routing (for roles).
*/
#ifndef HIBISCUSFERRY_SERVING_SERVING_HPP
#define HIBISCUSFERRY_SERVING_SERVING_HPP

#include "foundation/foundation.hpp"

#include "serving/catalogue/target_catalogue.hpp"
#include "serving/health/observed_health.hpp"
#include "serving/limits/connection_allowance.hpp"
#include "serving/limits/fleet_retry_budget.hpp"
#include "serving/limits/retry_delay.hpp"
#include "serving/model/fleet_configuration.hpp"
#include "serving/model/prompt_info.hpp"
#include "serving/model/route_table.hpp"
#include "serving/model/target_record.hpp"
#include "serving/scheduling/decode_engine_selector.hpp"
#include "serving/scheduling/engine_scheduler.hpp"
#include "serving/scheduling/engine_speeds.hpp"
#include "serving/scheduling/generation_request.hpp"
#include "serving/scheduling/observed_delay.hpp"
#include "serving/scheduling/prefill_engine_selector.hpp"
#include "serving/scheduling/server_scheduler.hpp"
#include "serving/scheduling/target_registry.hpp"
#include "serving/stages/stage_planner.hpp"

#endif
