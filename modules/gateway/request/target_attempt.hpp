#ifndef HIBISCUSFERRY_GATEWAY_REQUEST_TARGET_ATTEMPT_HPP
#define HIBISCUSFERRY_GATEWAY_REQUEST_TARGET_ATTEMPT_HPP

#include "gateway/request/target_exchange.hpp"
#include "http/http.hpp"
#include <string>

namespace hibiscusferry
{

/** An attempt to run a request at a target, together with what has been read of
    the response. It can be suspended while its target is silent, and be
    continued later. */
struct target_attempt
{
    target_attempt(const gateway_services& services, request_context& context,
                   const engine_assignment& the_assignment)
        : assignment(the_assignment)
        , target(the_assignment.decode_engine)
        , software_version(target->record.software_version)
        , is_transferred(context.kv_cache.has_value())
        , start(services.core.now())
        , work(target,
               is_transferred ? 0 : the_assignment.pending_prefill_tokens,
               tokens_of(context), services.core.time(), context.rank)
        , upstream(services, context, target)
    {
    }

    engine_assignment assignment;
    std::shared_ptr<target_view> target;
    std::string software_version;
    /** Whether the target fetches the KV cache from a prefill engine. */
    bool is_transferred;
    time_point start;
    /** When the head of the response arrived. */
    std::optional<time_point> response_start;
    target_load_guard work;
    target_exchange upstream;
    bool is_silence_logged = false;
    /** Number of complete events received. */
    unsigned events = 0;
    /** When the last event was received, and when it had been forwarded. */
    std::optional<time_point> event_received_at;
    time_point event_forwarded_at{};

    event_stream_parser parser;

private:
    static double tokens_of(const request_context& context)
    {
        return context.request.prompt
                   ? context.request.prompt->prompt_tokens +
                         context.request.prompt->output_tokens
                   : 0;
    }
};

} // namespace hibiscusferry

#endif
