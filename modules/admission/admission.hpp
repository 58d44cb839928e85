/** @file
    The admission module: selects the next request to run and decides which
    requests are refused.

    It contains cost estimation in weighted tokens, the fair queue of a
    service, the rate limits of workspaces across all entry hosts, the retry
    budget and the overload gate.

    The module only makes decisions and performs no I/O. It depends on the
    foundation and document modules.
*/
#ifndef HIBISCUSFERRY_ADMISSION_ADMISSION_HPP
#define HIBISCUSFERRY_ADMISSION_ADMISSION_HPP

#include "document/document.hpp"
#include "foundation/foundation.hpp"

#include "admission/cost/cost_estimator.hpp"
#include "admission/cost/request_cost.hpp"
#include "admission/limits/overload_gate.hpp"
#include "admission/limits/retry_budget.hpp"
#include "admission/limits/token_bucket.hpp"
#include "admission/queue/drain_rate.hpp"
#include "admission/queue/fair_queue.hpp"
#include "admission/queue/queued_request.hpp"
#include "admission/queue/waiting_requests.hpp"
#include "admission/queue/workspace_schedule.hpp"
#include "admission/share/demand_meter.hpp"
#include "admission/share/share_aggregator.hpp"
#include "admission/share/share_layout.hpp"
#include "admission/share/share_messages.hpp"
#include "admission/share/workspace_limits.hpp"

#endif
