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

/** What a generation is placed by. */
struct generation_request
{
    const prompt_info* prompt = nullptr;
    /** Time until an answer would be late; negative when it already is. */
    std::chrono::milliseconds time_to_objective{0};
    /** Time until nobody waits for the answer any more. */
    std::chrono::milliseconds time_to_deadline{0};
    /** Whether the prompt may be read at one engine and decoded at another. */
    bool may_transfer_kv = true;
    /** The engine that has read the prompt and keeps it for a decoder. */
    std::shared_ptr<target_view> prefilled_by;
    /** What was observed of the service's stages as a whole. */
    service_delays delays;
    /** Differs from request to request. */
    std::uint64_t draw = 0;
    scheduling_constraints constraints;
};

/** One engine with what the request would take there. */
struct engine_candidate
{
    std::shared_ptr<target_view> target;
    /** What the choice is made by: the expected time, and prices as time. */
    double cost_ms = 0;
    /** The time that its tokens say. */
    double baseline_ms = 0;
    /** The time with what was observed of the engine. */
    double expected_ms = 0;
    double pending_prefill_tokens = 0;
    /** Keeps shared parts of the prompt that this one lacks. */
    std::shared_ptr<target_view> prefix_source;
};

/** Whether an engine may be given the request at all. */
bool is_candidate(const target_view& target, const generation_request& request,
                  time_point now);

} // namespace hibiscusferry

#endif
