#ifndef HIBISCUSFERRY_EXTRAS_STAND_INS_ENGINE_MODEL_API_HPP
#define HIBISCUSFERRY_EXTRAS_STAND_INS_ENGINE_MODEL_API_HPP

#include "http/http.hpp"
#include "stand_ins/engine/batch_scheduler.hpp"
#include "stand_ins/engine/completion_text.hpp"
#include <optional>
#include <string>

namespace hibiscusferry::stand_ins
{

/** A parsed request of the model API. */
struct model_call
{
    model_prompt prompt;
    std::string model;
    bool is_chat = true;
    bool is_stream = false;
    unsigned priority = 5;
};

/** Parses a chat or text completion request.

    @returns the call, or std::nullopt if the request is malformed
*/
std::optional<model_call> parse_model_call(const http_request& request);

/** Creates the generation for a call without submitting it. */
generation_pointer make_generation(const model_call& call, std::string id,
                                   std::string attempt_id);

/** Returns the server-sent event for the token at `index`. */
std::string token_event(const generation& item, std::size_t index);

/** Returns the final server-sent events of a completed stream. */
std::string end_events(const generation& item);

/** Returns the response body of a completion that isn't streamed. */
std::string completion_body(const generation& item);

} // namespace hibiscusferry::stand_ins

#endif
