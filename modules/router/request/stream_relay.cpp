#include "router/request/stream_relay.hpp"

#include "router/errors/caller_error.hpp"
#include "router/request/model_call.hpp"

namespace hibiscusferry
{

namespace
{

constexpr std::uint32_t most_resumptions = 3;
constexpr std::chrono::milliseconds resume_limit{1000};
constexpr std::chrono::milliseconds cancel_limit{1000};
constexpr std::size_t cancel_byte_limit = 4096;

std::string generation_path(const std::string& generation)
{
    return "/v1/generations/" + url_encode(generation);
}

} // namespace

stream_relay::stream_relay(process_core& core, const caller_request& request,
                           http_exchange& exchange,
                           std::function<void()> on_first_token)
    : core_(core)
    , request_(request)
    , exchange_(exchange)
    , on_first_token_(std::move(on_first_token))
{
}

relay_result stream_relay::run(begun_answer begun,
                               const http_endpoint& endpoint,
                               boost::asio::yield_context yield)
{
    headers_ = to_caller_headers(begun.head.headers, request_.id);
    std::optional<begun_answer> current = std::move(begun);
    while (current)
    {
        const pass_end end = relay_connection(*current, yield);
        if (end == pass_end::complete)
        {
            core_.connections().release(std::move(current->connection));
            result_.end = attempt_completion::answered;
            return result_;
        }
        // Whatever still arrives on this connection reaches nobody.
        current->connection->close();
        current.reset();
        if (end == pass_end::caller_gone)
        {
            cancel_generation(endpoint);
            result_.end = attempt_completion::caller_gone;
            return result_;
        }
        if (end == pass_end::interrupted)
            current = resume(endpoint, yield);
    }
    if (!result_.has_begun)
        result_.end = attempt_completion::connection_lost;
    else
        end_with_error(yield);
    return result_;
}

stream_relay::pass_end
stream_relay::relay_connection(begun_answer& begun,
                               boost::asio::yield_context yield)
{
    parser_ = event_stream_parser();
    for (;;)
    {
        // Before the first token the request's own deadline holds.
        const std::chrono::milliseconds patience =
            assembler_.delivered() == 0
                ? time_until(request_.deadline, core_.now())
                : connection_limits{}.stream_idle_timeout;
        const result<std::string> piece =
            begun.connection->read_some(patience, yield);
        const bool is_over = !piece || piece.value().empty();
        if (is_over)
            return pass_end::interrupted;
        if (!parser_.add(piece.value()))
            return pass_end::failed;
        while (const std::optional<server_sent_event> event = parser_.next())
        {
            const std::optional<pass_end> end = relay_event(*event, yield);
            if (!end)
                continue;
            // The end of the body makes the connection reusable.
            if (*end == pass_end::complete)
            {
                const result<std::string> ignored =
                    begun.connection->read_some(resume_limit, yield);
                static_cast<void>(ignored);
            }
            return *end;
        }
        if (exchange_.is_client_disconnected())
            return pass_end::caller_gone;
    }
}

std::optional<stream_relay::pass_end>
stream_relay::relay_event(const server_sent_event& event,
                          boost::asio::yield_context yield)
{
    if (event.data == "[DONE]")
        return relay_done(event, yield);
    const result<stream_position> position = stream_position::parse(event.id);
    const stream_chunk chunk = read_stream_chunk(event.data);
    if (!position || !chunk.is_readable)
        return pass_end::failed;

    const stream_step step =
        assembler_.receive({position.value(), chunk.has_text, std::nullopt});
    generation_ = position.value().generation;
    switch (step)
    {
    case stream_step::deliver:
        if (const std::optional<request_cost> usage = usage_of(event.data))
            result_.usage = usage;
        if (!deliver(event, yield))
            return pass_end::caller_gone;
        return std::nullopt;
    case stream_step::drop:
        return std::nullopt;
    case stream_step::gap:
        return pass_end::interrupted;
    case stream_step::other_generation:
    case stream_step::misaligned:
    case stream_step::closed:
        break;
    }
    return pass_end::failed;
}

stream_relay::pass_end
stream_relay::relay_done(const server_sent_event& event,
                         boost::asio::yield_context yield)
{
    if (!assembler_.done())
        return pass_end::interrupted;
    const bool is_delivered =
        deliver(event, yield) && exchange_.end_stream(yield);
    return is_delivered ? pass_end::complete : pass_end::caller_gone;
}

bool stream_relay::deliver(const server_sent_event& event,
                           boost::asio::yield_context yield)
{
    if (!result_.has_begun && !begin_response(yield))
        return false;
    return exchange_.write_chunk(event.raw, yield).has_value();
}

bool stream_relay::begin_response(boost::asio::yield_context yield)
{
    result_.has_begun = true;
    on_first_token_();
    return exchange_.begin_stream({200, headers_}, yield).has_value();
}

std::optional<begun_answer>
stream_relay::resume(const http_endpoint& endpoint,
                     boost::asio::yield_context yield)
{
    while (resumptions_ < most_resumptions)
    {
        ++resumptions_;
        const std::optional<stream_position> position =
            assembler_.interrupted();
        if (!position)
            return std::nullopt;
        std::optional<begun_answer> begun =
            open_resumed(endpoint, *position, yield);
        if (begun)
        {
            core_.journal().record(event_number::stream_resumed,
                                   {{"request", request_.id},
                                    {"service", request_.service},
                                    {"position", position->text()}});
            assembler_.resumed();
            return begun;
        }
    }
    return std::nullopt;
}

std::optional<begun_answer>
stream_relay::open_resumed(const http_endpoint& endpoint,
                           const stream_position& position,
                           boost::asio::yield_context yield)
{
    // A new connection: what made the old one silent may be on its path.
    result<std::unique_ptr<http_connection>> opened =
        core_.connections().open(endpoint, resume_limit, yield);
    if (!opened)
        return std::nullopt;
    begun_answer begun;
    begun.connection = std::move(opened.value());
    const std::string attempt = core_.identifiers().next();
    const http_request message{"GET",
                               generation_path(position.generation) +
                                   "?offset=" + std::to_string(position.offset),
                               {{"X-Attempt-Id", attempt}},
                               ""};
    if (!begun.connection->send(message, resume_limit, yield))
        return std::nullopt;
    const result<http_response_head> head =
        begun.connection->read_head(resume_limit, yield);
    const bool is_resumed =
        head && head.value().status == 200 &&
        head.value().headers.value("X-Attempt-Id") == attempt;
    if (!is_resumed)
        return std::nullopt;
    begun.head = head.value();
    return begun;
}

void stream_relay::end_with_error(boost::asio::yield_context yield)
{
    assembler_.fail();
    core_.journal().record(
        event_number::stream_broken,
        {{"request", request_.id}, {"service", request_.service}});
    const caller_error error{502,
                             "stream_broken",
                             call_outcome::unknown,
                             "the answer could not be completed",
                             {}};
    const result<void> told =
        exchange_.write_chunk(to_event(error, request_.id), yield);
    const result<void> ended = exchange_.end_stream(yield);
    static_cast<void>(told);
    static_cast<void>(ended);
    result_.end = attempt_completion::broken_stream;
}

void stream_relay::cancel_generation(const http_endpoint& endpoint)
{
    if (generation_.empty())
        return;
    const http_request message{"DELETE",
                               generation_path(generation_),
                               {{"X-Attempt-Id", core_.identifiers().next()}},
                               ""};
    http_call(core_.context(), core_.connections(), endpoint, message,
              cancel_limit, cancel_byte_limit,
              [](const result<http_response>&) {});
}

} // namespace hibiscusferry
