#ifndef HIBISCUSFERRY_SERVING_SCHEDULING_SERVING_FAKES_HPP
#define HIBISCUSFERRY_SERVING_SCHEDULING_SERVING_FAKES_HPP

#include "serving/serving.hpp"

// Test fixtures: targets and prompts with realistic sizes.

namespace hibiscusferry
{

inline target_record make_engine_record(const std::string& id,
                                        const std::string& zone,
                                        target_role stage)
{
    target_record record;
    record.id = id;
    record.service = "llm";
    record.availability_zone = zone;
    record.endpoint = {"127.0.0.1", 1000};
    record.slots = 16;
    record.stage = stage;
    return record;
}

inline std::shared_ptr<target_view>
make_engine(const std::string& id, const std::string& zone, target_role stage)
{
    return std::make_shared<target_view>(make_engine_record(id, zone, stage));
}

inline engine_properties make_engine_properties()
{
    engine_properties properties;
    properties.slots = 16;
    properties.kv_capacity_tokens = 685000;
    properties.kv_bytes_per_token = 327680;
    properties.link_megabits_per_second = 8600000;
    properties.stage_change_duration = std::chrono::seconds(3);
    return properties;
}

/** The speeds of an engine that prefills 350 tokens a millisecond and starts a
    stream 3 ms after it has fetched a KV cache. */
inline engine_estimates make_engine_estimates()
{
    engine_estimates estimates;
    estimates.prefill = {0, 1.0 / 350, true};
    const engine_properties engine = make_engine_properties();
    estimates.transfer = {3,
                          engine.kv_bytes_per_token * 8 /
                              engine.link_megabits_per_second / 1000,
                          true};
    estimates.completion = {0, 40, true};
    return estimates;
}

/** Returns a prompt of 9,190 tokens with a shared prefix of 6,300 tokens. */
inline prompt_info make_long_prompt(const std::string& document,
                                    const std::string& session)
{
    prompt_info prompt;
    prompt.model = "m";
    prompt.blocks = {{"rules", 2520}, {document, 3780}, {session, 2890}};
    prompt.prompt_tokens = 9190;
    prompt.output_tokens = 2;
    return prompt;
}

inline prompt_info make_short_prompt()
{
    prompt_info prompt;
    prompt.model = "m";
    prompt.blocks = {{"greeting", 79}, {"question", 141}};
    prompt.prompt_tokens = 220;
    prompt.output_tokens = 90;
    return prompt;
}

inline generation_request make_generation_request(const prompt_info& prompt)
{
    generation_request request;
    request.prompt = &prompt;
    request.latency_objective = std::chrono::milliseconds(150);
    request.time_to_objective = std::chrono::milliseconds(150);
    request.time_to_deadline = std::chrono::milliseconds(2000);
    request.constraints.availability_zone = "a";
    request.constraints.live_hosts = 6;
    request.constraints.connection_allowance = 20;
    return request;
}

} // namespace hibiscusferry

#endif
