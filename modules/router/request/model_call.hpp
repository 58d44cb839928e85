#ifndef HIBISCUSFERRY_ROUTER_REQUEST_MODEL_CALL_HPP
#define HIBISCUSFERRY_ROUTER_REQUEST_MODEL_CALL_HPP

#include "admission/admission.hpp"
#include "foundation/foundation.hpp"
#include <cstdint>
#include <optional>
#include <string>

namespace hibiscusferry
{

/** What the router has to know of a call of the model API. */
struct model_call
{
    std::string model;
    bool is_streamed = false;
    std::optional<std::uint32_t> max_tokens;
    /** The prompt's text, messages joined; for size and prefix. */
    std::string prompt;

    /** Reads the body of a chat completion or completion;
        std::errc::invalid_argument when it is not one. */
    static result<model_call> parse(const std::string& body);
};

/** The token counts of an answer's or event's `usage`, if it has one. */
std::optional<request_cost> usage_of(const std::string& json);

/** What an event of a streamed answer carries. */
struct stream_chunk
{
    bool has_text = false;
    bool is_readable = false;
};

/** Reads the data of an event of a streamed answer. */
stream_chunk read_stream_chunk(const std::string& json);

} // namespace hibiscusferry

#endif
