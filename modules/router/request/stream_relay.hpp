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

/** What became of a streamed answer. */
struct relay_result
{
    attempt_completion end = attempt_completion::broken_stream;
    /** Whether the caller has been sent the beginning of the answer. */
    bool has_begun = false;
    /** The engine's own token counts, when it told them. */
    std::optional<request_cost> usage;
};

/** Passes one streamed answer from a target to a caller.

    When the connection to the target breaks or falls silent, the stream is
    resumed over a new one on the same generation, at the offset reached; a
    stream that cannot be completed ends with an explicit error event and
    without [DONE]. One per streamed request.
*/
class stream_relay
{
public:
    /** @param on_first_token  called once, when the target's first token
                               has come */
    stream_relay(process_core& core, const caller_request& request,
                 http_exchange& exchange, std::function<void()> on_first_token);

    /** Relays the answer; suspends the calling coroutine until its end.
        @param endpoint  where the stream is resumed */
    relay_result run(begun_answer begun, const http_endpoint& endpoint,
                     boost::asio::yield_context yield);

private:
    /** Why reading from one connection stopped. */
    enum class pass_end
    {
        complete,
        interrupted,
        failed,
        caller_gone
    };

    pass_end relay_connection(begun_answer& begun,
                              boost::asio::yield_context yield);
    std::optional<pass_end> relay_event(const server_sent_event& event,
                                        boost::asio::yield_context yield);
    pass_end relay_done(const server_sent_event& event,
                        boost::asio::yield_context yield);
    bool deliver(const server_sent_event& event,
                 boost::asio::yield_context yield);
    bool begin_response(boost::asio::yield_context yield);
    std::optional<begun_answer> resume(const http_endpoint& endpoint,
                                       boost::asio::yield_context yield);
    std::optional<begun_answer> open_resumed(const http_endpoint& endpoint,
                                             const stream_position& position,
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
