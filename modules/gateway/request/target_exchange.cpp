#include "gateway/request/target_exchange.hpp"

#include "gateway/request/request_limits.hpp"

#include <algorithm>

namespace hibiscusferry
{

namespace
{

/** A target in the same region accepts a connection within a few milliseconds
    unless it is down or unreachable. */
constexpr std::chrono::milliseconds connect_timeout{250};

/** Maximum idle time of a connection that is reused. Requests that must not run
    twice use fresher connections: if the target closes the connection while the
    request is being sent, their outcome is unknown. */
constexpr std::chrono::milliseconds max_idle_time{8000};
constexpr std::chrono::milliseconds max_idle_time_not_repeatable{2500};

/** Maximum size of the body of a response that is not a stream. */
constexpr std::size_t max_body_bytes = 8U << 20;

/** Part of the memory of the host that is available to responses larger than
    response_memory::share_bytes. */
constexpr std::size_t response_pool_percent = 25;

/** Maximum size of the body of a refusal and time to read it. It is read only
   in order to reuse the connection, so it may cost no more than a new one. */
constexpr std::size_t max_refusal_body_bytes = 64U << 10;
constexpr std::chrono::milliseconds refusal_body_timeout = connect_timeout;

/** Time during which a target gets no requests after it refused one although it
    had free slots. It is probably changing its stage, which takes seconds. */
constexpr std::chrono::milliseconds refusal_backoff{300};

/** Maximum number of late responses to other requests that are discarded while
    waiting for the response to this one. */
constexpr unsigned max_stale_responses = 2;

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
    if (context_.active_connection == connection_.get())
        context_.active_connection = nullptr;
}

std::chrono::milliseconds
target_exchange::clamp_to_deadline(std::chrono::milliseconds timeout) const
{
    const std::chrono::milliseconds remaining =
        context_.time_left(services_.core.now());
    return std::max(std::min(timeout, remaining), std::chrono::milliseconds(1));
}

std::unique_ptr<http_connection> target_exchange::take_idle_connection()
{
    if (context_.request.id.empty())
        return nullptr;
    return services_.core.connections().take_idle(
        target_->record.endpoint,
        context_.matched_route->is_safe_to_retry()
            ? max_idle_time
            : max_idle_time_not_repeatable,
        context_.request.id);
}

attempt_result target_exchange::connect(boost::asio::yield_context yield)
{
    connection_ = take_idle_connection();
    is_reused_connection_ = connection_ != nullptr;
    evidence_.begin(is_reused_connection_, !context_.request.id.empty());
    if (!connection_)
    {
        result<std::unique_ptr<http_connection>> opened =
            open_connection(yield);
        if (context_.is_caller_disconnected)
            return attempt_result::caller_disconnected;
        if (!opened)
        {
            context_.last_error = "connect: " + opened.error().message();
            services_.fleet.record_outcome(
                *target_, exchange_outcome::unreachable, context_.request.id);
            return attempt_result::not_sent;
        }
        connection_ = std::move(opened.value());
    }
    context_.active_connection = connection_.get();
    return attempt_result::response_received;
}

result<std::unique_ptr<http_connection>>
target_exchange::open_connection(boost::asio::yield_context yield)
{
    services_.core.metrics()
        .counter_of("hibiscusferry_target_connections_total")
        .add();
    return services_.core.connections().open(
        target_->record.endpoint, clamp_to_deadline(connect_timeout), yield);
}

attempt_result
target_exchange::send(const attempt_options& options,
                      std::chrono::milliseconds first_byte_timeout,
                      boost::asio::yield_context yield)
{
    const attempt_result connected = connect(yield);
    if (connected != attempt_result::response_received)
        return connected;

    if (context_.has_caller_left())
    {
        finish();
        return attempt_result::caller_disconnected;
    }
    attempt_options current_options = options;
    current_options.time_left = context_.time_left(services_.core.now());
    if (current_options.time_left <= std::chrono::milliseconds(0))
    {
        context_.last_error = "deadline passed before the request was sent";
        finish();
        return attempt_result::not_sent;
    }
    sent_at_ = services_.core.now();
    context_.admissions.use(*target_, sent_at_);
    ++context_.attempts;
    context_.last_target = target_->record.id;
    context_.last_software_version = target_->record.software_version;
    if (!context_.request.id.empty())
        connection_->add_exchange_id(context_.request.id);
    const result<void> sent =
        connection_->send(services_.targets.write_attempt(current_options),
                          clamp_to_deadline(first_byte_timeout), yield);
    return finish_send(sent, first_byte_timeout, yield);
}

attempt_result
target_exchange::finish_send(const result<void>& sent,
                             std::chrono::milliseconds first_byte_timeout,
                             boost::asio::yield_context yield)
{
    if (!sent && is_silence(sent.error()))
        return attempt_result::silent;
    // A target may respond and close before it has read the whole request.
    if (!sent && sent.error() == http_error::timed_out)
        return handle_failure(sent.error());
    return read_head(first_byte_timeout, yield);
}

attempt_result
target_exchange::read_head(std::chrono::milliseconds first_byte_timeout,
                           boost::asio::yield_context yield)
{
    const time_point head_due = services_.core.now() + first_byte_timeout;
    const auto time_left = [&]
    {
        return clamp_to_deadline(
            std::chrono::duration_cast<std::chrono::milliseconds>(
                head_due - services_.core.now()));
    };
    for (; stale_responses_ <= max_stale_responses; ++stale_responses_)
    {
        const result<http_response_head> head =
            connection_->read_head(time_left(), yield);
        if (!head && is_silence(head.error()))
            return attempt_result::silent;
        if (!head)
            return handle_failure(head.error());
        head_ = head.value();
        parsed_response_ = services_.targets.read_response(
            head_, context_.request, services_.core.now());
        evidence_.add(head_.status, parsed_response_);
        if (evidence_.belongs_to_request())
            break;
        const result<void> discarded = discard_response(time_left(), yield);
        if (!discarded)
            return handle_failure(discarded.error());
    }
    if (!evidence_.belongs_to_request())
        return handle_failure(make_error_code(http_error::bad_message));
    if (parsed_response_.load)
        target_->record_load(*parsed_response_.load);
    // A misdirected request was answered by another target.
    if (!parsed_response_.is_misdirected)
        services_.fleet.apply_notice(*target_, parsed_response_.notice,
                                     sent_at_);
    if (evidence_.is_refusal())
        return handle_refusal(yield);
    count_statement();
    return attempt_result::response_received;
}

attempt_result target_exchange::handle_refusal(boost::asio::yield_context yield)
{
    const result<std::string> body = connection_->read_remaining(
        max_refusal_body_bytes, clamp_to_deadline(refusal_body_timeout), yield);
    const bool is_proven = evidence_.conclude_not_run(body.has_value());
    count_statement();
    if (!is_proven)
        return handle_failure(body.error() == http_error::broken
                                  ? body.error()
                                  : make_error_code(http_error::bad_message));
    context_.last_error =
        "refused without running: " + std::to_string(head_.status);
    if (body)
        finish();
    services_.fleet.record_outcome(*target_, exchange_outcome::shed,
                                   context_.request.id);
    if (!body && !context_.is_caller_disconnected)
        services_.fleet.record_outcome(*target_, exchange_outcome::broken,
                                       context_.request.id);
    if (parsed_response_.is_misdirected)
        target_->is_withdrawn = true;
    const bool had_free_slots =
        parsed_response_.load &&
        parsed_response_.load->running < parsed_response_.load->slots;
    if (had_free_slots)
        target_->refuses_until = std::max<time_point>(
            target_->refuses_until, services_.core.now() + refusal_backoff);
    return attempt_result::not_run;
}

result<void>
target_exchange::discard_response(std::chrono::milliseconds timeout,
                                  boost::asio::yield_context yield)
{
    count_statement();
    std::vector<event_field> fields{{"request", context_.request.id},
                                    {"target", target_->record.id}};
    for (const event_field& field : evidence_.fields())
        fields.push_back(field);
    services_.core.journal().record(event_number::answer_mismatch,
                                    std::move(fields));
    const result<void> discarded =
        discard_body(*connection_, max_body_bytes, timeout, yield);
    if (discarded)
        connection_->expect_another_response();
    return discarded;
}

void target_exchange::count_statement()
{
    if (evidence_.has_statement())
        services_.core.metrics()
            .counter_of("hibiscusferry_not_run_statements_total",
                        evidence_.labels())
            .add();
}

attempt_result
target_exchange::wait(std::chrono::milliseconds first_byte_timeout,
                      boost::asio::yield_context yield)
{
    context_.active_connection = connection_.get();
    return finish_send(connection_->continue_send(
                           clamp_to_deadline(first_byte_timeout), yield),
                       first_byte_timeout, yield);
}

bool target_exchange::is_silence(std::error_code error)
{
    if (error != http_error::timed_out || context_.is_caller_disconnected ||
        is_deadline_exceeded())
        return false;
    context_.last_error = error.message();
    record_silence();
    return true;
}

bool target_exchange::was_silent() const
{
    return is_silence_recorded_;
}

bool target_exchange::is_connection_broken() const
{
    return is_connection_broken_;
}

bool target_exchange::has_unread_data() const
{
    return connection_ && connection_->has_unread_data();
}

void target_exchange::close()
{
    if (connection_)
        connection_->close();
}

void target_exchange::record_silence()
{
    if (is_silence_recorded_)
        return;
    is_silence_recorded_ = true;
    services_.fleet.record_outcome(*target_, exchange_outcome::timed_out,
                                   context_.request.id);
    services_.core.connections().forget(target_->record.endpoint);
}

bool target_exchange::is_deadline_exceeded() const
{
    return context_.time_left(services_.core.now()) <=
           std::chrono::milliseconds(1);
}

attempt_result target_exchange::handle_failure(std::error_code error)
{
    if (context_.is_caller_disconnected)
        return attempt_result::caller_disconnected;
    context_.last_error = error.message();
    is_connection_broken_ = error == http_error::broken;
    const bool is_timeout = error == http_error::timed_out;
    // The target may close an idle connection at any time, so the failure of a
    // reused connection without a byte received is no sign of its health.
    const bool is_stale =
        is_reused_connection_ && !is_timeout && !connection_->has_received();
    if (is_timeout)
        record_silence();
    else if (!is_stale)
        services_.fleet.record_outcome(*target_, exchange_outcome::broken,
                                       context_.request.id);
    return is_deadline_exceeded() ? attempt_result::deadline_exceeded
                                  : attempt_result::unknown;
}

const http_response_head& target_exchange::head() const
{
    return head_;
}

const target_response& target_exchange::parsed_response() const
{
    return parsed_response_;
}

const response_evidence& target_exchange::evidence() const
{
    return evidence_;
}

bool target_exchange::has_failed() const
{
    return is_server_error(head_.status) || parsed_response_.promises_not_run;
}

result<std::string> target_exchange::read_body(boost::asio::yield_context yield)
{
    std::string body;
    for (;;)
    {
        const result<std::string> chunk =
            read_some(context_.matched_route->time_limit, yield);
        if (!chunk)
            return chunk.error();
        if (chunk.value().empty() && !confirm_end(yield))
            return make_error_code(http_error::broken);
        if (chunk.value().empty())
            return body;
        body += chunk.value();
        if (body.size() > max_body_bytes || !reserve_memory(body.capacity()))
            return make_error_code(http_error::too_large);
    }
}

result<std::string>
target_exchange::read_some(std::chrono::milliseconds read_timeout,
                           boost::asio::yield_context yield)
{
    // A read never times out while bytes are available.
    if (context_.time_left(services_.core.now()) <=
        std::chrono::milliseconds(0))
        return make_error_code(http_error::timed_out);
    context_.active_connection = connection_.get();
    return connection_->read_some(clamp_to_deadline(read_timeout), yield);
}

bool target_exchange::confirm_end(boost::asio::yield_context yield)
{
    if (!connection_->ends_with_connection())
        return true;
    const bool is_complete = is_target_answering(yield);
    services_.core.metrics()
        .counter_of("hibiscusferry_unframed_responses_total",
                    is_complete ? "end=\"confirmed\"" : "end=\"unknown\"")
        .add();
    return is_complete;
}

bool target_exchange::is_target_answering(boost::asio::yield_context yield)
{
    const std::chrono::milliseconds max_duration =
        context_.matched_route->time_limit;
    result<std::unique_ptr<http_connection>> opened =
        services_.core.connections().open(
            target_->record.endpoint, clamp_to_deadline(max_duration), yield);
    if (!opened)
        return false;
    std::unique_ptr<http_connection> connection = std::move(opened.value());
    const std::optional<http_request> request = state_request();
    bool is_answering = !request;
    if (request)
    {
        target_->request_limit.record_request(services_.core.now());
        context_.active_connection = connection.get();
        const result<void> sent =
            connection->send(*request, clamp_to_deadline(max_duration), yield);
        const result<http_response_head> head =
            sent ? connection->read_head(clamp_to_deadline(max_duration), yield)
                 : result<http_response_head>(sent.error());
        is_answering = head && services_.targets.is_health_response_of(
                                   head.value(), target_->record);
        const bool is_read =
            head &&
            connection->read_remaining(max_refusal_body_bytes,
                                       clamp_to_deadline(max_duration), yield);
        context_.active_connection = connection_.get();
        if (!is_read)
            return is_answering;
    }
    // The next request to the target needs a new connection in any case.
    services_.core.connections().release(std::move(connection));
    return is_answering;
}

std::optional<http_request> target_exchange::state_request() const
{
    const std::shared_ptr<const route_table> routes = services_.fleet.routes();
    const service_properties* const service =
        routes ? routes->configuration().service(target_->record.service)
               : nullptr;
    if (service == nullptr)
        return std::nullopt;
    if (service->engine)
        return services_.targets.write_status_request();
    if (service->health_path.empty())
        return std::nullopt;
    return services_.targets.write_health_request(service->health_path,
                                                  target_->record);
}

bool target_exchange::reserve_memory(std::size_t bytes)
{
    return context_.reserved_memory->resize(
        bytes,
        services_.fleet.settings().memory_bytes / 100 * response_pool_percent);
}

time_point target_exchange::sent_at() const
{
    return sent_at_;
}

void target_exchange::finish()
{
    context_.active_connection = nullptr;
    if (connection_)
        services_.core.connections().release(std::move(connection_));
}

} // namespace hibiscusferry
