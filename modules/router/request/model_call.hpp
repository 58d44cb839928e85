#ifndef HIBISCUSFERRY_ROUTER_REQUEST_MODEL_CALL_HPP
#define HIBISCUSFERRY_ROUTER_REQUEST_MODEL_CALL_HPP

#include "admission/admission.hpp"
#include "foundation/foundation.hpp"
#include <cstdint>
#include <optional>
#include <string>

namespace hibiscusferry
{

/** The fields of a model API call that the router uses. */
struct model_call
{
    std::string model;
    bool is_streamed = false;
    std::optional<std::uint32_t> max_tokens;
    /** The text of the prompt, with messages concatenated; used for the size
        estimate and the prefix key. */
    std::string prompt;

    /** Parses the body of a chat completion or completion request.
        @returns std::errc::invalid_argument when the body is neither */
    static result<model_call> parse(const std::string& body);
};

/** Parses the token counts from the `usage` member of a response or event;
    std::nullopt when it has none. */
std::optional<request_cost> parse_usage(const std::string& json);

/** The content of an event of a streamed response. */
struct stream_chunk
{
    bool has_text = false;
    bool is_valid = false;
};

/** Parses the data of an event of a streamed response. */
stream_chunk parse_stream_chunk(const std::string& json);

} // namespace hibiscusferry

#endif
