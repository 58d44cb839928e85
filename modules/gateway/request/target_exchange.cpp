#include "gateway/request/target_exchange.hpp"

#include <algorithm>

namespace hibiscusferry
{

namespace
{

/** A target in the same region answers a connection attempt within a few
    milliseconds unless it is down or cut off. */
constexpr std::chrono::milliseconds connect_limit{250};

/** Longest idle time of a connection that is used again. Calls that may not
    run twice get fresher ones, as a close that crosses them leaves their
    outcome unknown. */
constexpr std::chrono::milliseconds idle_limit{8000};
constexpr std::chrono::milliseconds idle_limit_once{2500};

/** Greatest body of an answer that is not a stream. */
constexpr std::size_t answer_limit_bytes = 8U << 20;

/** How long a target is let alone that refused though it had room; a change
    of stage takes seconds. */
constexpr std::chrono::milliseconds refusal_pause{300};

/** Late answers to other requests that are dropped before the one that is
    waited for. */
constexpr int most_foreign_answers = 2;

} // namespace

target_exchange::target_exchange(const gateway_services& services,
                                 request_context& context,
                                 std::shared_ptr<target_view> target)
    : services_(services)
    , context_(context)
    , target_(std::move(target))
{
}

target_exchange::~target_exchange()
{
    if (context_.open_connection == connection_.get())
        context_.open_connection = nullptr;
}

std::chrono::milliseconds
target_exchange::bounded(std::chrono::milliseconds limit) const
{
    const std::chrono::milliseconds left =
        context_.time_left(services_.core.now());
    return std::max(std::min(limit, left), std::chrono::milliseconds(1));
}

attempt_result target_exchange::connect(boost::asio::yield_context yield)
{
    const http_endpoint& endpoint = target_->record.endpoint;
    http_connection_pool& pool = services_.core.connections();
    connection_ = pool.take_idle(
        endpoint, context_.found->may_repeat() ? idle_limit : idle_limit_once);
    is_kept_connection_ = connection_ != nullptr;
    if (!connection_)
    {
        services_.core.metrics()
            .counter_of("hibiscusferry_target_connections_total")
            .add();
        result<std::unique_ptr<http_connection>> opened =
            pool.open(endpoint, bounded(connect_limit), yield);
        if (context_.is_caller_gone)
            return attempt_result::caller_gone;
        if (!opened)
        {
            context_.last_problem = "connect: " + opened.error().message();
            services_.fleet.record_outcome(
                *target_, exchange_outcome::unreachable, context_.request.id);
            return attempt_result::not_sent;
        }
        connection_ = std::move(opened.value());
    }
    context_.open_connection = connection_.get();
    return attempt_result::answered;
}

attempt_result target_exchange::send(const attempt_terms& terms,
                                     std::chrono::milliseconds first_byte_limit,
                                     boost::asio::yield_context yield)
{
    const attempt_result connected = connect(yield);
    if (connected != attempt_result::answered)
        return connected;

    attempt_terms current = terms;
    current.time_left = context_.time_left(services_.core.now());
    if (current.time_left <= std::chrono::milliseconds(0))
    {
        services_.core.connections().release(std::move(connection_));
        context_.open_connection = nullptr;
        return attempt_result::not_sent;
    }
    ++context_.attempts;
    context_.last_target = target_->record.id;
    const result<void> sent =
        connection_->send(services_.targets.write_attempt(current),
                          bounded(first_byte_limit), yield);
    // A target may answer and close before it has read all of the request.
    if (!sent && sent.error() == http_error::timed_out)
        return failure(sent.error(), true);
    return read_head(first_byte_limit, yield);
}

attempt_result
target_exchange::read_head(std::chrono::milliseconds first_byte_limit,
                           boost::asio::yield_context yield)
{
    for (int foreign = 0; foreign <= most_foreign_answers; ++foreign)
    {
        const result<http_response_head> head =
            connection_->read_head(bounded(first_byte_limit), yield);
        if (!head)
            return failure(head.error(), true);
        head_ = head.value();
        answer_ = services_.targets.read_response(head_, context_.request,
                                                  services_.core.now());
        if (answer_.echoes_request_id)
            break;
        services_.core.journal().record(
            event_number::answer_mismatch,
            {{"request", context_.request.id}, {"target", target_->record.id}});
        const result<std::string> dropped = connection_->read_remaining(
            answer_limit_bytes, bounded(first_byte_limit), yield);
        if (!dropped)
            return failure(dropped.error(), true);
        connection_->expect_another_response();
    }
    if (!answer_.echoes_request_id)
        return failure(make_error_code(http_error::bad_message), true);
    if (answer_.load)
        target_->load = answer_.load;
    if (!answer_.is_not_run)
        return attempt_result::answered;

    context_.last_problem =
        "refused as not run: " + std::to_string(head_.status);
    const result<std::string> body = read_body(yield);
    if (body)
        finish();
    services_.fleet.record_outcome(*target_, exchange_outcome::shed,
                                   context_.request.id);
    if (answer_.is_misdirected)
        target_->is_leaving = true;
    const bool had_room =
        answer_.load && answer_.load->running < answer_.load->slots;
    if (had_room)
        target_->refuses_until = services_.core.now() + refusal_pause;
    return attempt_result::not_run;
}

attempt_result target_exchange::failure(std::error_code error,
                                        bool may_have_run)
{
    if (context_.is_caller_gone)
        return attempt_result::caller_gone;
    context_.last_problem = error.message();
    const bool is_silent = error == http_error::timed_out;
    const bool is_out_of_time = context_.time_left(services_.core.now()) <=
                                std::chrono::milliseconds(1);
    // A kept connection that was closed meanwhile says nothing of the target.
    const bool is_stale =
        is_kept_connection_ && !is_silent && !connection_->has_received();
    if (!is_stale)
        services_.fleet.record_outcome(*target_,
                                       is_silent ? exchange_outcome::silent
                                                 : exchange_outcome::broken,
                                       context_.request.id);
    if (is_silent)
        services_.core.connections().forget(target_->record.endpoint);
    if (!may_have_run)
        return attempt_result::not_sent;
    return is_out_of_time ? attempt_result::out_of_time
                          : attempt_result::unknown;
}

const http_response_head& target_exchange::head() const
{
    return head_;
}

const target_response& target_exchange::answer() const
{
    return answer_;
}

result<std::string> target_exchange::read_body(boost::asio::yield_context yield)
{
    return connection_->read_remaining(
        answer_limit_bytes, bounded(context_.found->time_limit), yield);
}

result<std::string>
target_exchange::read_some(std::chrono::milliseconds silence_limit,
                           boost::asio::yield_context yield)
{
    return connection_->read_some(bounded(silence_limit), yield);
}

void target_exchange::finish()
{
    context_.open_connection = nullptr;
    if (connection_)
        services_.core.connections().release(std::move(connection_));
}

} // namespace hibiscusferry
