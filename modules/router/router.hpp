/** @file
    The router module: forwards callers' requests to targets and relays the
    responses.

    Executes the decisions of the admission, routing and claims modules. Each
    caller's request runs on its own coroutine. Depends on runtime, admission,
   routing and claims.
*/
#ifndef HIBISCUSFERRY_ROUTER_ROUTER_HPP
#define HIBISCUSFERRY_ROUTER_ROUTER_HPP

#include "admission/admission.hpp"
#include "claims/claims.hpp"
#include "roles/roles.hpp"
#include "routing/routing.hpp"
#include "runtime/runtime.hpp"

#include "router/claims/claim_service.hpp"
#include "router/control/control_service.hpp"
#include "router/errors/caller_error.hpp"
#include "router/limits/limit_service.hpp"
#include "router/request/attempt_runner.hpp"
#include "router/request/caller_request.hpp"
#include "router/request/caller_service.hpp"
#include "router/request/model_call.hpp"
#include "router/request/request_handler.hpp"
#include "router/request/stream_relay.hpp"
#include "router/service/admission_gate.hpp"
#include "router/service/served_service.hpp"
#include "router/service/service_directory.hpp"
#include "router/targets/load_poller.hpp"

#endif
