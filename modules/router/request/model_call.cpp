#include "router/request/model_call.hpp"

#include <limits>
#include <nlohmann/json.hpp>

namespace hibiscusferry
{

namespace
{

using nlohmann::json;

void append_content(const json& content, std::string& prompt)
{
    if (content.is_string())
    {
        prompt += content.get_ref<const std::string&>() + "\n";
        return;
    }
    if (!content.is_array())
        return;
    for (const json& part : content)
    {
        if (part.is_object() && part.contains("text"))
            append_content(part["text"], prompt);
        else if (part.is_string())
            append_content(part, prompt);
    }
}

std::string prompt_of(const json& body)
{
    std::string prompt;
    if (body.contains("prompt"))
        append_content(body["prompt"], prompt);
    if (!body.contains("messages") || !body["messages"].is_array())
        return prompt;
    for (const json& message : body["messages"])
    {
        if (message.is_object() && message.contains("content"))
            append_content(message["content"], prompt);
    }
    return prompt;
}

std::optional<std::uint32_t> parse_max_tokens(const json& body)
{
    for (const char* key : {"max_completion_tokens", "max_tokens"})
    {
        if (!body.contains(key) || !body[key].is_number_unsigned())
            continue;
        const std::uint64_t limit = body[key].get<std::uint64_t>();
        return static_cast<std::uint32_t>(std::min<std::uint64_t>(
            limit, std::numeric_limits<std::uint32_t>::max()));
    }
    return std::nullopt;
}

double number_in(const json& object, const char* key)
{
    return object.contains(key) && object[key].is_number()
               ? object[key].get<double>()
               : 0.0;
}

} // namespace

result<model_call> model_call::parse(const std::string& body)
{
    const json parsed = json::parse(body, nullptr, false);
    const bool is_call = parsed.is_object() && (parsed.contains("messages") ||
                                                parsed.contains("prompt"));
    if (!is_call)
        return std::make_error_code(std::errc::invalid_argument);

    model_call call;
    if (parsed.contains("model") && parsed["model"].is_string())
        call.model = parsed["model"].get<std::string>();
    call.is_streamed = parsed.contains("stream") && parsed["stream"] == true;
    call.max_tokens = parse_max_tokens(parsed);
    call.prompt = prompt_of(parsed);
    return call;
}

std::optional<request_cost> parse_usage(const std::string& text)
{
    if (text.find("\"usage\"") == std::string::npos)
        return std::nullopt;
    const json parsed = json::parse(text, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("usage") ||
        !parsed["usage"].is_object())
        return std::nullopt;
    return request_cost{number_in(parsed["usage"], "prompt_tokens"),
                        number_in(parsed["usage"], "completion_tokens")};
}

stream_chunk parse_stream_chunk(const std::string& text)
{
    const json parsed = json::parse(text, nullptr, false);
    if (!parsed.is_object())
        return {};
    stream_chunk chunk;
    chunk.is_valid = true;
    if (!parsed.contains("choices") || !parsed["choices"].is_array())
        return chunk;
    for (const json& choice : parsed["choices"])
    {
        if (!choice.is_object())
            continue;
        if (choice.contains("text") && choice["text"].is_string())
            chunk.has_text |=
                !choice["text"].get_ref<const std::string&>().empty();
        if (choice.contains("delta") && choice["delta"].is_object())
            chunk.has_text |= choice["delta"].contains("content") &&
                              choice["delta"]["content"].is_string() &&
                              choice["delta"]["content"] != "";
    }
    return chunk;
}

} // namespace hibiscusferry
