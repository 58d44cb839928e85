#ifndef HIBISCUSFERRY_SERVING_PLACING_SERVING_FAKES_HPP
#define HIBISCUSFERRY_SERVING_PLACING_SERVING_FAKES_HPP

#include "serving/serving.hpp"

// For tests: targets and prompts like those in use today.

namespace hibiscusferry
{

inline target_record engine_record(const std::string& id,
                                   const std::string& zone, target_role stage)
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
engine(const std::string& id, const std::string& zone, target_role stage)
{
    return std::make_shared<target_view>(engine_record(id, zone, stage));
}

inline engine_properties today_engine()
{
    engine_properties properties;
    properties.slots = 16;
    properties.kv_capacity_tokens = 685000;
    properties.kv_bytes_per_token = 327680;
    properties.link_megabits_per_second = 8600000;
    properties.stage_change_duration = std::chrono::seconds(3);
    return properties;
}

/** A prompt of 9,190 tokens, 6,300 of them shared. */
inline prompt long_prompt(const std::string& document,
                          const std::string& session)
{
    prompt wanted;
    wanted.model = "m";
    wanted.parts = {{"rules", 2520}, {document, 3780}, {session, 2890}};
    wanted.prompt_tokens = 9190;
    wanted.output_tokens = 2;
    return wanted;
}

inline prompt short_prompt()
{
    prompt wanted;
    wanted.model = "m";
    wanted.parts = {{"greeting", 79}, {"question", 141}};
    wanted.prompt_tokens = 220;
    wanted.output_tokens = 90;
    return wanted;
}

inline engine_request request_for(const prompt& wanted)
{
    engine_request request;
    request.wanted = &wanted;
    request.until_late = std::chrono::milliseconds(150);
    request.until_useless = std::chrono::milliseconds(2000);
    request.common.availability_zone = "a";
    request.common.live_hosts = 6;
    request.common.connection_allowance = 20;
    return request;
}

} // namespace hibiscusferry

#endif
