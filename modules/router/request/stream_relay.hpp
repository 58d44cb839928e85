#ifndef HIBISCUSFERRY_ROUTER_REQUEST_STREAM_RELAY_HPP
#define HIBISCUSFERRY_ROUTER_REQUEST_STREAM_RELAY_HPP

#include "http/http.hpp"
#include "router/request/attempt_runner.hpp"
#include "router/request/caller_request.hpp"
#include "routing/routing.hpp"
#include <boost/asio/spawn.hpp>
#include <optional>
#include <string>

namespace hibiscusferry
{

/** The outcome of relaying a streamed response. */
struct relay_result
{
    attempt_completion completion = attempt_completion::broken_stream;
    /** Whether the start of the response has been sent to the caller. */
    bool has_started = false;
    /** The token counts reported by the engine, if any. */
    std::optional<request_cost> usage;
};

/** Relays one streamed response from a target to a caller.

    When the connection to the target breaks or no data arrives within the idle
    timeout, the relay resumes the same generation over a new connection, at
    the offset reached. A stream that cannot be completed ends with an explicit
    error event and without [DONE]. There is one relay per streamed request.
*/
class stream_relay
{
public:
    /** @param on_first_token  called once, when the first token of the target
                               has arrived */
    stream_relay(process_core& core, const caller_request& request,
                 http_exchange& exchange, std::function<void()> on_first_token);

    /** Relays the response and suspends the calling coroutine until the stream
        has ended.
        @param endpoint  the endpoint at which the stream is resumed */
    relay_result run(pending_response pending, const http_endpoint& endpoint,
                     boost::asio::yield_context yield);

private:
    /** The reason why relaying from one connection stopped. */
    enum class relay_end
    {
        complete,
        interrupted,
        failed,
        caller_disconnected
    };

    relay_end relay_connection(pending_response& pending,
                               boost::asio::yield_context yield);
    std::optional<relay_end> relay_event(const server_sent_event& event,
                                         boost::asio::yield_context yield);
    relay_end relay_done(const server_sent_event& event,
                         boost::asio::yield_context yield);
    bool deliver(const server_sent_event& event,
                 boost::asio::yield_context yield);
    bool begin_response(boost::asio::yield_context yield);
    std::optional<pending_response> resume(const http_endpoint& endpoint,
                                           boost::asio::yield_context yield);
    std::optional<pending_response>
    open_resumed(const http_endpoint& endpoint, const stream_position& position,
                 boost::asio::yield_context yield);
    void end_with_error(boost::asio::yield_context yield);
    void cancel_generation(const http_endpoint& endpoint);

    process_core& core_;
    const caller_request& request_;
    http_exchange& exchange_;
    std::function<void()> on_first_token_;
    stream_assembler assembler_;
    event_stream_parser parser_;
    http_headers headers_;
    std::string generation_;
    relay_result result_;
    std::uint32_t resumptions_ = 0;
};

} // namespace hibiscusferry

#endif
