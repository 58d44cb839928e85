#include "gateway/request/request_context.hpp"

namespace hibiscusferry
{

namespace
{

std::chrono::milliseconds to_milliseconds(std::chrono::nanoseconds duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
}

bool is_resumable_stream(const route* matched_route)
{
    return matched_route != nullptr &&
           matched_route->kind == request_kind::streaming &&
           matched_route->is_resumable;
}

} // namespace

bool request_context::has_caller_left()
{
    is_caller_disconnected =
        is_caller_disconnected ||
        (caller != nullptr && caller->is_client_disconnected());
    return is_caller_disconnected;
}

bool request_context::is_resumption() const
{
    return is_resumable_stream(matched_route) &&
           (!request.resumed_request_id.empty() ||
            !request.resume_after.empty());
}

bool request_context::can_continue_elsewhere() const
{
    return !has_stream_started ||
           (is_resumable_stream(matched_route) && progress.can_continue());
}

std::chrono::milliseconds request_context::elapsed(time_point now) const
{
    return to_milliseconds(now - arrived_at);
}

std::chrono::milliseconds request_context::time_left(time_point now) const
{
    return to_milliseconds(deadline - now);
}

std::chrono::milliseconds
request_context::time_to_objective(time_point now) const
{
    return to_milliseconds(latency_deadline - now);
}

} // namespace hibiscusferry
