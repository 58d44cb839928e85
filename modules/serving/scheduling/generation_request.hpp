#ifndef HIBISCUSFERRY_SERVING_SCHEDULING_GENERATION_REQUEST_HPP
#define HIBISCUSFERRY_SERVING_SCHEDULING_GENERATION_REQUEST_HPP

#include "serving/model/prompt_info.hpp"
#include "serving/scheduling/observed_delay.hpp"
#include "serving/scheduling/server_scheduler.hpp"
#include "serving/scheduling/target_registry.hpp"
#include <chrono>
#include <cstdint>
#include <memory>
#include <vector>

namespace hibiscusferry
{

using target_list = std::vector<std::shared_ptr<target_view>>;

/** The input to scheduling a generation. */
struct generation_request
{
    const prompt_info* prompt = nullptr;
    /** The rank of the route; 0 is the most urgent. */
    unsigned rank = 0;
    /** The latency objective of the route, the unit of all penalties. */
    std::chrono::milliseconds latency_objective{0};
    /** Time left to meet the latency objective; negative if it has been
        missed. */
    std::chrono::milliseconds time_to_objective{0};
    /** Time left until the caller's deadline. */
    std::chrono::milliseconds time_to_deadline{0};
    /** Longest gap between two events that the route allows; zero if it has no
        such objective. */
    std::chrono::milliseconds event_gap_objective{0};
    /** Whether prefill and decode may run on different engines. */
    bool may_transfer_kv = true;
    /** The engine that has prefilled the prompt and retains its KV cache for
        transfer; null if none has. Must be of the required software
        version. */
    std::shared_ptr<target_view> prefilled_by;
    /** Delays and event gaps observed for the engines of the service. */
    service_delays delays;
    /** Random value that differs between requests; seeds the sampling of
        engines. */
    std::uint64_t random_value = 0;
    scheduling_constraints constraints;
};

/** An engine considered for a request, with the estimated times and cost. */
struct engine_candidate
{
    std::shared_ptr<target_view> target;
    /** Ranks the candidates: the expected time plus penalties expressed as
        time. */
    double cost_ms = 0;
    /** Time estimated from token counts alone. */
    double baseline_ms = 0;
    /** The baseline corrected by the delay observed for the engine. */
    double expected_ms = 0;
    /** The expected slowness of the engine; see target_slowness. */
    double slowness = 1;
    /** Tokens that the engine would have to prefill. */
    double pending_prefill_tokens = 0;
    /** Tokens that the engine has to prefill before them. */
    double queued_prefill_tokens = 0;
    /** Time to fetch prefix blocks from `prefix_source`. */
    double prefix_fetch_ms = 0;
    /** An engine from which this one fetches the prefix blocks that it lacks;
        null if it fetches none. */
    std::shared_ptr<target_view> prefix_source;
};

/** Whether the engine may receive the request: it is available, of the required
    software version, within the connection allowance, not excluded, and not
    already being probed. */
bool is_eligible(const target_view& target, const generation_request& request,
                 time_point now);

/** A fraction of the latency objective. */
double objective_ms(const generation_request& request, double fraction);

/** The latency to another availability zone plus the price of cross-zone
    traffic, expressed as a fraction of the latency objective. */
constexpr double cross_zone_penalty = 0.04;

} // namespace hibiscusferry

#endif
