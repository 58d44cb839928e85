#ifndef HIBISCUSFERRY_EXTRAS_STAND_INS_ENGINE_MODEL_API_HPP
#define HIBISCUSFERRY_EXTRAS_STAND_INS_ENGINE_MODEL_API_HPP

#include "http/http.hpp"
#include "stand_ins/engine/batch_scheduler.hpp"
#include "stand_ins/engine/completion_text.hpp"
#include <optional>
#include <string>

namespace hibiscusferry::stand_ins
{

/** A call of the model API as read. */
struct model_call
{
    model_prompt prompt;
    std::string model;
    bool is_chat = true;
    bool is_stream = false;
    unsigned priority = 5;
};

/** Reads a chat or text completion; nothing when it is malformed. */
std::optional<model_call> parse_model_call(const http_request& request);

/** The generation that answers a call; not yet submitted. */
generation_pointer make_generation(const model_call& call, std::string id,
                                   std::string attempt_id);

/** The server-sent event with token number `index`. */
std::string token_event(const generation& item, std::size_t index);

/** The events that end a complete stream. */
std::string end_events(const generation& item);

/** The whole answer's body. */
std::string completion_body(const generation& item);

} // namespace hibiscusferry::stand_ins

#endif
