#include "http/server/request_reader.hpp"

#include "http/message/message_framing.hpp"
#include <algorithm>
#include <boost/asio/steady_timer.hpp>

namespace hibiscusferry
{

namespace
{

/** Interim response that asks a waiting client to send the request body. */
constexpr char continue_response[] = "HTTP/1.1 100 Continue\r\n\r\n";

/** Returns true if the client waits for 100 (Continue) before it sends the
    body. */
bool expects_continue(
    const beast_http::request_parser<beast_http::string_body>& parser)
{
    return boost::beast::iequals(parser.get()[beast_http::field::expect],
                                 "100-continue");
}

/** Reads and discards further data from a client whose request was rejected,
    until the client closes the connection or the linger timeout expires. */
void linger(server_connection& connection, boost::asio::yield_context yield)
{
    boost::system::error_code error;
    connection.stream.socket().shutdown(
        boost::asio::ip::tcp::socket::shutdown_send, error);
    connection.stream.expires_after(linger_timeout);
    // The response has been written, so the connection may be dropped.
    connection.begin_phase(connection_phase::responding);
    connection.buffer.clear();
    connection.buffer.shrink_to_fit();
    while (!error)
    {
        connection.buffer.clear();
        connection.stream.async_read_some(connection.buffer.prepare(4096),
                                          yield[error]);
    }
}

/** Cancels the pending operation of a connection when a request has not arrived
    completely in time. Unlike the timeout of the stream it leaves the socket
    open, so that a response can be sent. */
class request_timer
{
public:
    request_timer(server_connection& connection,
                  std::chrono::milliseconds timeout)
        : timer_(connection.stream.get_executor(), timeout)
        , has_expired_(std::make_shared<bool>(false))
    {
        timer_.async_wait(
            [&connection, has_expired = std::weak_ptr<bool>(has_expired_)](
                const boost::system::error_code& error)
            {
                const std::shared_ptr<bool> flag = has_expired.lock();
                if (error || !flag)
                    return;
                *flag = true;
                connection.stream.cancel();
            });
        // A cancellation between two reads has no effect, so the connection is
        // closed if it has not led to a response by then.
        connection.stream.expires_after(timeout + linger_timeout);
    }

    bool has_expired() const
    {
        return *has_expired_;
    }

private:
    boost::asio::steady_timer timer_;
    std::shared_ptr<bool> has_expired_;
};

} // namespace

bool reserve_memory(server_connection& connection, std::size_t bytes,
                    const std::function<bool()>& reclaim)
{
    while (!connection.memory.resize(bytes))
    {
        if (!reclaim())
            return false;
    }
    return true;
}

namespace
{

/** Input that is read ahead: pipelined requests, chunk extensions and trailers.
    Beast does not limit the latter two. */
constexpr std::size_t read_ahead_bytes = 16U << 10;

/** Memory is reserved in steps of this size as a body grows. No read takes more
    than the buffer of the connection, which is of about this size. */
constexpr std::size_t body_step_bytes = 32U << 10;

/** Memory of a field in addition to its bytes: in Beast's container (measured:
    80 bytes), and in the copies that are made while the request is handled. */
constexpr std::size_t received_field_bytes = 96;
constexpr std::size_t handled_field_bytes = 512;
constexpr std::size_t copies_of_fields = 4;

/** Part of a head that may arrive before its fields are counted again. The
   count visits all fields, so it is not repeated for each byte of a slow
   client. */
constexpr std::size_t uncounted_head_bytes = 512;

/** The gateway keeps the body for further attempts, beside the attempt that is
    being sent. */
constexpr std::size_t copies_of_body = 2;

struct field_sizes
{
    std::size_t count = 0;
    std::size_t bytes = 0;
};

field_sizes measure_fields(const beast_http::fields& fields)
{
    field_sizes sizes;
    for (const beast_http::fields::value_type& field : fields)
    {
        ++sizes.count;
        sizes.bytes += field.name_string().size() + field.value().size();
    }
    return sizes;
}

/** Returns whether the whole body of announced length would fit now, and some
    memory would be left for the growth of the requests that arrive already. A
    large request is refused at its head rather than half-way. */
bool is_body_expected_to_fit(server_connection& connection,
                             std::size_t fixed_bytes, std::size_t body_bytes,
                             const std::function<bool()>& reclaim)
{
    constexpr std::size_t margin_part = 8;
    const http_server_limits& limits = connection.limits;
    if (!limits.memory ||
        fixed_bytes + body_bytes <= memory_budget::small_bytes)
        return true;
    const bool fits = reserve_memory(
        connection,
        fixed_bytes + body_bytes + limits.memory->capacity() / margin_part,
        reclaim);
    connection.memory.force(fixed_bytes);
    return fits;
}

/** Reads what arrives next, after memory for it has been reserved.

    @param fixed_bytes  the memory of the request without its body
*/
result<void>
read_body_step(server_connection& connection,
               beast_http::request_parser<beast_http::string_body>& parser,
               std::size_t fixed_bytes, const std::function<bool()>& reclaim,
               boost::system::error_code& error,
               boost::asio::yield_context yield)
{
    const std::string& body = parser.get().body();
    // A body of known length is allocated at once, but its pages are touched
    // as it arrives. Others are copied to twice the size as they grow.
    const boost::optional<std::uint64_t> length = parser.content_length();
    const std::size_t held = length ? body.size() : body.capacity();
    std::size_t next = (held / body_step_bytes + 1) * body_step_bytes;
    if (length)
        next = std::min<std::size_t>(next, *length);
    if (!reserve_memory(connection, fixed_bytes + next, reclaim))
        return make_error_code(http_error::memory_short);
    connection.count_progress(beast_http::async_read_some(
        connection.stream, connection.buffer, parser, yield[error]));
    return outcome::success();
}

} // namespace

std::size_t
handling_bytes(const beast_http::request<beast_http::string_body>& message)
{
    const field_sizes fields = measure_fields(message);
    return connection_bytes + read_ahead_bytes +
           fields.count * handled_field_bytes +
           (fields.bytes + message.target().size()) * copies_of_fields +
           message.body().size() * copies_of_body;
}

http_request
to_http_request(beast_http::request<beast_http::string_body> message)
{
    http_request request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const beast_http::fields::value_type& field : message)
        request.headers.add(std::string(field.name_string()),
                            std::string(field.value()));
    request.body = std::move(message.body());
    return request;
}

result<void>
read_request(server_connection& connection,
             beast_http::request_parser<beast_http::string_body>& parser,
             const http_server_limits& limits,
             const std::function<bool()>& reclaim,
             boost::asio::yield_context yield)
{
    const request_timer timer(connection, limits.request_timeout);
    // The limits may change while the request arrives.
    const std::size_t max_fields = limits.header_fields;
    const std::size_t max_buffered = std::max(
        limits.header_bytes + read_ahead_bytes, connection.buffer.size());
    connection.buffer.max_size(max_buffered);
    connection.begin_phase(connection_phase::receiving);
    if (!reserve_memory(connection, connection_bytes + max_buffered, reclaim))
        return make_error_code(http_error::memory_short);
    boost::system::error_code error;
    // Beast stores fields as they arrive, so they are counted before the header
    // is complete.
    std::size_t counted_bytes = 0;
    while (!error && !parser.is_header_done() && !connection.drop_cause)
    {
        connection.count_progress(beast_http::async_read_some(
            connection.stream, connection.buffer, parser, yield[error]));
        const std::size_t received = connection.progress.transferred_bytes;
        if (error || received - counted_bytes < uncounted_head_bytes)
            continue;
        counted_bytes = received;
        const field_sizes so_far = measure_fields(parser.get());
        if (so_far.count > max_fields)
            return make_error_code(http_error::too_many_fields);
        if (!reserve_memory(connection,
                            connection_bytes + max_buffered +
                                so_far.count * received_field_bytes +
                                so_far.bytes,
                            reclaim))
            return make_error_code(http_error::memory_short);
    }
    const field_sizes fields = measure_fields(parser.get());
    if (!error && fields.count > max_fields)
        return make_error_code(http_error::too_many_fields);
    const result<void> framing =
        error || connection.drop_cause
            ? outcome::success()
            : check_framing(parser.get().version(), parser.get());
    if (!framing)
        return framing.error();
    const std::size_t fixed_bytes = connection_bytes + max_buffered +
                                    fields.count * received_field_bytes +
                                    fields.bytes;
    if (!error && !connection.drop_cause &&
        !reserve_memory(connection, fixed_bytes, reclaim))
        return make_error_code(http_error::memory_short);
    const boost::optional<std::uint64_t> length = parser.content_length();
    if (!error && !connection.drop_cause && length &&
        !is_body_expected_to_fit(connection, fixed_bytes, *length, reclaim))
        return make_error_code(http_error::memory_short);
    if (!error && expects_continue(parser))
        boost::asio::async_write(
            connection.stream,
            boost::asio::buffer(continue_response,
                                sizeof continue_response - 1),
            yield[error]);
    // Otherwise each chunk would be a step of its own.
    parser.eager(true);
    while (!error && !parser.is_done() && !connection.drop_cause)
    {
        const result<void> step = read_body_step(
            connection, parser, fixed_bytes, reclaim, error, yield);
        if (!step)
            return step.error();
    }
    if (connection.drop_cause)
        return make_error_code(http_error::timed_out);
    if (!error && measure_fields(parser.get()).count > max_fields)
        return make_error_code(http_error::too_many_fields);
    if (!error)
        return outcome::success();
    if (timer.has_expired() && parser.got_some())
        return make_error_code(http_error::timed_out);
    return to_http_error(error);
}

void refuse_request(server_connection& connection, std::error_code reason,
                    const std::function<http_response()>& memory_response,
                    boost::asio::yield_context yield)
{
    // The client of a broken connection cannot receive a response.
    if (reason == http_error::broken)
        return;
    unsigned status = 400;
    if (reason == http_error::too_large)
        status = 413;
    else if (reason == http_error::timed_out)
        status = 408;
    else if (reason == http_error::too_many_fields)
        status = 431;
    else if (reason == http_error::memory_short)
        status = 503;
    else if (reason == http_error::unknown_coding)
        status = 501;

    server_exchange exchange(connection, {}, boot_clock::now(), false);
    http_response response =
        json_response(status, R"({"error":{"code":"bad_request","outcome":)"
                              R"("not_run","message":")" +
                                  reason.message() + "\"}}");
    if (reason == http_error::memory_short)
        response.headers.set("Retry-After", "1");
    if (reason == http_error::memory_short && memory_response)
        response = memory_response();
    const result<void> ignored = exchange.respond(response, yield);
    static_cast<void>(ignored);
    linger(connection, yield);
}

} // namespace hibiscusferry
