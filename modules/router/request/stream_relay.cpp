#include "router/request/stream_relay.hpp"

#include "router/errors/caller_error.hpp"
#include "router/request/model_call.hpp"

namespace hibiscusferry
{

namespace
{

constexpr std::uint32_t max_resumptions = 3;
constexpr std::chrono::milliseconds resume_timeout{1000};
constexpr std::chrono::milliseconds cancel_timeout{1000};
constexpr std::size_t max_cancel_response_bytes = 4096;

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

relay_result stream_relay::run(pending_response pending,
                               const http_endpoint& endpoint,
                               boost::asio::yield_context yield)
{
    headers_ = to_caller_headers(pending.head.headers, request_.id);
    std::optional<pending_response> current = std::move(pending);
    while (current)
    {
        const relay_end relayed = relay_connection(*current, yield);
        if (relayed == relay_end::complete)
        {
            core_.connections().release(std::move(current->connection));
            result_.completion = attempt_completion::answered;
            return result_;
        }
        // Data that still arrives on this connection is discarded.
        current->connection->close();
        current.reset();
        if (relayed == relay_end::caller_disconnected)
        {
            cancel_generation(endpoint);
            result_.completion = attempt_completion::caller_gone;
            return result_;
        }
        if (relayed == relay_end::interrupted)
            current = resume(endpoint, yield);
    }
    if (!result_.has_started)
        result_.completion = attempt_completion::connection_lost;
    else
        end_with_error(yield);
    return result_;
}

stream_relay::relay_end
stream_relay::relay_connection(pending_response& pending,
                               boost::asio::yield_context yield)
{
    parser_ = event_stream_parser();
    for (;;)
    {
        // Until the first token the deadline of the request applies.
        const std::chrono::milliseconds read_timeout =
            assembler_.delivered() == 0
                ? time_until(request_.deadline, core_.now())
                : connection_limits{}.stream_idle_timeout;
        const result<std::string> data =
            pending.connection->read_some(read_timeout, yield);
        const bool has_ended = !data || data.value().empty();
        if (has_ended)
            return relay_end::interrupted;
        if (!parser_.add(data.value()))
            return relay_end::failed;
        while (const std::optional<server_sent_event> event = parser_.next())
        {
            const std::optional<relay_end> relayed = relay_event(*event, yield);
            if (!relayed)
                continue;
            // The connection can be reused only after the end of the body.
            if (*relayed == relay_end::complete)
            {
                const result<std::string> ignored =
                    pending.connection->read_some(resume_timeout, yield);
                static_cast<void>(ignored);
            }
            return *relayed;
        }
        if (exchange_.is_client_disconnected())
            return relay_end::caller_disconnected;
    }
}

std::optional<stream_relay::relay_end>
stream_relay::relay_event(const server_sent_event& event,
                          boost::asio::yield_context yield)
{
    if (event.data == "[DONE]")
        return relay_done(event, yield);
    const result<stream_position> position = stream_position::parse(event.id);
    const stream_chunk chunk = parse_stream_chunk(event.data);
    if (!position || !chunk.is_valid)
        return relay_end::failed;

    const stream_step step =
        assembler_.receive({position.value(), chunk.has_text, std::nullopt});
    generation_ = position.value().generation;
    switch (step)
    {
    case stream_step::deliver:
        if (const std::optional<request_cost> usage = parse_usage(event.data))
            result_.usage = usage;
        if (!deliver(event, yield))
            return relay_end::caller_disconnected;
        return std::nullopt;
    case stream_step::drop:
        return std::nullopt;
    case stream_step::gap:
        return relay_end::interrupted;
    case stream_step::other_generation:
    case stream_step::misaligned:
    case stream_step::closed:
        break;
    }
    return relay_end::failed;
}

stream_relay::relay_end
stream_relay::relay_done(const server_sent_event& event,
                         boost::asio::yield_context yield)
{
    if (!assembler_.done())
        return relay_end::interrupted;
    const bool is_delivered =
        deliver(event, yield) && exchange_.end_stream(yield);
    return is_delivered ? relay_end::complete : relay_end::caller_disconnected;
}

bool stream_relay::deliver(const server_sent_event& event,
                           boost::asio::yield_context yield)
{
    if (!result_.has_started && !begin_response(yield))
        return false;
    return exchange_.write_chunk(event.raw, yield).has_value();
}

bool stream_relay::begin_response(boost::asio::yield_context yield)
{
    result_.has_started = true;
    on_first_token_();
    return exchange_.begin_stream({200, headers_}, yield).has_value();
}

std::optional<pending_response>
stream_relay::resume(const http_endpoint& endpoint,
                     boost::asio::yield_context yield)
{
    while (resumptions_ < max_resumptions)
    {
        ++resumptions_;
        const std::optional<stream_position> position =
            assembler_.interrupted();
        if (!position)
            return std::nullopt;
        std::optional<pending_response> pending =
            open_resumed(endpoint, *position, yield);
        if (pending)
        {
            core_.journal().record(event_number::stream_resumed,
                                   {{"request", request_.id},
                                    {"service", request_.service},
                                    {"position", position->text()}});
            assembler_.resumed();
            return pending;
        }
    }
    return std::nullopt;
}

std::optional<pending_response>
stream_relay::open_resumed(const http_endpoint& endpoint,
                           const stream_position& position,
                           boost::asio::yield_context yield)
{
    // Uses a new connection because the fault that silenced the previous one
    // may be on its network path.
    result<std::unique_ptr<http_connection>> connection =
        core_.connections().open(endpoint, resume_timeout, yield);
    if (!connection)
        return std::nullopt;
    pending_response pending;
    pending.connection = std::move(connection.value());
    const std::string attempt = core_.identifiers().next();
    const http_request message{"GET",
                               generation_path(position.generation) +
                                   "?offset=" + std::to_string(position.offset),
                               {{"X-Attempt-Id", attempt}},
                               ""};
    if (!pending.connection->send(message, resume_timeout, yield))
        return std::nullopt;
    const result<http_response_head> head =
        pending.connection->read_head(resume_timeout, yield);
    const bool is_resumed =
        head && head.value().status == 200 &&
        head.value().headers.value("X-Attempt-Id") == attempt;
    if (!is_resumed)
        return std::nullopt;
    pending.head = head.value();
    return pending;
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
                             "the response could not be completed",
                             {}};
    const result<void> error_sent =
        exchange_.write_chunk(to_event(error, request_.id), yield);
    const result<void> stream_ended = exchange_.end_stream(yield);
    static_cast<void>(error_sent);
    static_cast<void>(stream_ended);
    result_.completion = attempt_completion::broken_stream;
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
              cancel_timeout, max_cancel_response_bytes,
              [](const result<http_response>&) {});
}

} // namespace hibiscusferry
