#include "stand_ins/engine/model_api.hpp"

#include <charconv>
#include <ctime>
#include <nlohmann/json.hpp>

namespace hibiscusferry::stand_ins
{

namespace
{

constexpr unsigned lowest_priority = 9;

/** Returns the text of a message's content, which is either a string or a list
    of text parts. */
std::string content_text(const nlohmann::json& content)
{
    if (content.is_string())
        return content.get<std::string>();
    std::string text;
    for (const nlohmann::json& part : content)
        text += part.value("text", "");
    return text;
}

/** @throws nlohmann::json::exception if the call is malformed */
void parse_prompt(const nlohmann::json& body, model_call& call)
{
    model_prompt& prompt = call.prompt;
    if (call.is_chat)
    {
        for (const nlohmann::json& message : body.at("messages"))
        {
            prompt.question = content_text(message.at("content"));
            prompt.text += prompt.question + "\n";
        }
    }
    else
    {
        prompt.text = content_text(body.at("prompt"));
        prompt.question = prompt.text;
    }
    for (const char* const name : {"max_tokens", "max_completion_tokens"})
    {
        if (body.contains(name) && body.at(name).is_number_unsigned())
            prompt.limit = body.at(name).get<std::size_t>();
    }
    prompt.ignores_end_of_sequence = body.value("ignore_eos", false);
}

unsigned parse_priority(std::string_view text)
{
    unsigned priority = model_call().priority;
    std::from_chars(text.data(), text.data() + text.size(), priority);
    return std::min(priority, lowest_priority);
}

nlohmann::json usage_of(const generation& item)
{
    return {{"prompt_tokens", item.prompt_tokens},
            {"completion_tokens", item.produced},
            {"total_tokens", item.prompt_tokens + item.produced},
            {"prompt_tokens_details", {{"cached_tokens", item.cached_tokens}}}};
}

const char* finish_reason(const generation& item)
{
    return item.reached_limit ? "length" : "stop";
}

nlohmann::json response_envelope(const generation& item,
                                 const char* chat_object)
{
    return {{"id", item.id},
            {"object", item.is_chat ? chat_object : "text_completion"},
            {"created", std::time(nullptr)},
            {"model", item.model}};
}

std::string to_event(const generation& item, std::size_t offset,
                     const nlohmann::json& data)
{
    return "id: " + item.id + ":" + std::to_string(offset) + "\ndata: " +
           data.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
           "\n\n";
}

} // namespace

std::optional<model_call> parse_model_call(const http_request& request)
{
    const nlohmann::json body =
        nlohmann::json::parse(request.body, nullptr, false);
    if (!body.is_object())
        return std::nullopt;
    model_call call;
    call.is_chat = request.path() == "/v1/chat/completions";
    call.priority = parse_priority(request.headers.value("X-Priority"));
    try
    {
        parse_prompt(body, call);
        call.model = body.value("model", "");
        call.is_stream = body.value("stream", false);
    }
    catch (const nlohmann::json::exception&)
    {
        return std::nullopt;
    }
    return call;
}

generation_pointer make_generation(const model_call& call, std::string id,
                                   std::string attempt_id)
{
    generation_pointer item = std::make_shared<generation>();
    const std::vector<std::string> words = split_words(call.prompt.text);
    item->id = std::move(id);
    item->attempt_id = std::move(attempt_id);
    item->model = call.model;
    item->is_chat = call.is_chat;
    item->priority = call.priority;
    item->prompt_tokens = std::max<std::size_t>(1, words.size());
    item->remaining_prefill_tokens = item->prompt_tokens;
    item->prefixes = prefix_hashes(words);
    item->tokens = completion_tokens(call.prompt);
    item->reached_limit =
        call.prompt.limit && item->tokens.size() >= *call.prompt.limit;
    return item;
}

std::string token_event(const generation& item, std::size_t index)
{
    const std::string& text = item.tokens[index];
    nlohmann::json choice = {{"index", 0}, {"finish_reason", nullptr}};
    if (!item.is_chat)
        choice["text"] = text;
    else if (index == 0)
        choice["delta"] = {{"role", "assistant"}, {"content", text}};
    else
        choice["delta"] = {{"content", text}};

    nlohmann::json data = response_envelope(item, "chat.completion.chunk");
    data["choices"] = nlohmann::json::array({choice});
    return to_event(item, index + 1, data);
}

std::string end_events(const generation& item)
{
    nlohmann::json choice = {{"index", 0},
                             {"finish_reason", finish_reason(item)}};
    if (item.is_chat)
        choice["delta"] = nlohmann::json::object();
    else
        choice["text"] = "";
    nlohmann::json data = response_envelope(item, "chat.completion.chunk");
    data["choices"] = nlohmann::json::array({choice});
    data["usage"] = usage_of(item);
    return to_event(item, item.produced, data) + "data: [DONE]\n\n";
}

std::string completion_body(const generation& item)
{
    std::string text;
    for (const std::string& token : item.tokens)
        text += token;
    nlohmann::json choice = {{"index", 0},
                             {"finish_reason", finish_reason(item)}};
    if (item.is_chat)
        choice["message"] = {{"role", "assistant"}, {"content", text}};
    else
        choice["text"] = text;
    nlohmann::json data = response_envelope(item, "chat.completion");
    data["choices"] = nlohmann::json::array({choice});
    data["usage"] = usage_of(item);
    return data.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace hibiscusferry::stand_ins
