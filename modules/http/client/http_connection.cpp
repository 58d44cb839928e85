#include "http/client/http_connection.hpp"

#include "http/message/message_framing.hpp"
#include "http/server/beast_support.hpp"
#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <charconv>
#include <limits>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <vector>

namespace hibiscusferry
{

namespace
{

constexpr std::size_t max_response_header_bytes = 32U << 10;
/** Also bounds what Beast does not: chunk sizes, chunk extensions and
    trailers. */
constexpr std::size_t max_buffered_bytes = max_response_header_bytes;
/** A field of a few bytes occupies more than a hundred in memory. */
constexpr std::size_t max_response_fields = 256;
constexpr std::size_t read_buffer_bytes = 16U << 10;

/** Requests expect no interim response, so a server that sends more than a few
    does not respond at all. */
constexpr int max_interim_responses = 8;

/** Parses the "timeout=N" parameter of a Keep-Alive header field. */
std::optional<std::chrono::seconds>
parse_keep_alive_timeout(std::string_view text)
{
    constexpr std::string_view name = "timeout=";
    const std::size_t position = text.find(name);
    if (position == std::string_view::npos)
        return std::nullopt;
    const std::string_view digits = text.substr(position + name.size());
    unsigned seconds = 0;
    const std::from_chars_result parsed =
        std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    if (parsed.ec != std::errc())
        return std::nullopt;
    return std::chrono::seconds(seconds);
}

/** Cancels the reads and writes of a socket from the end of a timeout until it
    is destroyed. Unlike a timeout of the stream, it leaves the connection
    open. */
class socket_timeout
{
public:
    socket_timeout(boost::asio::ip::tcp::socket& socket,
                   std::chrono::milliseconds duration)
        : state_(std::make_shared<state>(socket))
    {
        start(state_, duration);
    }

    ~socket_timeout()
    {
        state_->is_active = false;
        state_->timer.cancel();
    }

    socket_timeout(const socket_timeout&) = delete;
    socket_timeout& operator=(const socket_timeout&) = delete;

    /** Converts the error of an operation, which may have been cancelled. */
    std::error_code to_error(const boost::system::error_code& error) const
    {
        const bool is_timeout =
            error == boost::asio::error::operation_aborted &&
            state_->has_expired && state_->socket.is_open();
        return is_timeout ? make_error_code(http_error::timed_out)
                          : to_http_error(error);
    }

private:
    static constexpr std::chrono::milliseconds cancel_interval{5};
    static constexpr int max_grace_intervals = 10;

    struct state
    {
        explicit state(boost::asio::ip::tcp::socket& the_socket)
            : socket(the_socket)
            , timer(the_socket.get_executor())
        {
        }

        boost::asio::ip::tcp::socket& socket;
        boost::asio::steady_timer timer;
        bool is_active = true;
        bool has_expired = false;
        int grace_intervals = max_grace_intervals;
    };

    static void start(const std::shared_ptr<state>& timeout,
                      std::chrono::milliseconds duration)
    {
        timeout->timer.expires_after(duration);
        timeout->timer.async_wait(
            [timeout](const boost::system::error_code& error)
            {
                if (error || !timeout->is_active)
                    return;
                // After a pause of this process, data that arrived in the
                // meantime is read before the timeout takes effect.
                boost::system::error_code ignored;
                const bool is_overtaken =
                    timeout->grace_intervals > 0 &&
                    timeout->socket.available(ignored) > 0;
                if (is_overtaken)
                    --timeout->grace_intervals;
                else
                {
                    timeout->has_expired = true;
                    timeout->socket.cancel(ignored);
                }
                // Between two steps of a composed operation there is nothing
                // to cancel, and the next step must not wait forever.
                start(timeout, cancel_interval);
            });
    }

    std::shared_ptr<state> state_;
};

} // namespace

struct http_connection::implementation
{
    implementation(boost::asio::io_context& context,
                   http_endpoint remote_endpoint)
        : stream(context)
        , endpoint(std::move(remote_endpoint))
    {
    }

    using response_parser =
        beast_http::response_parser<beast_http::buffer_body>;
    using request_message = beast_http::request<beast_http::string_body>;
    using request_serializer =
        beast_http::request_serializer<beast_http::string_body>;

    boost::beast::tcp_stream stream;
    http_endpoint endpoint;
    boost::beast::flat_buffer buffer{max_buffered_bytes};
    std::unique_ptr<response_parser> parser;
    /** The request that is being sent. */
    std::optional<request_message> message;
    /** Set while the request has not been sent completely. */
    std::unique_ptr<request_serializer> serializer;
    bool is_reusable = true;
    bool is_head_request = false;
    bool has_write_failed = false;
    int interim_responses = 0;
    std::optional<std::chrono::seconds> keep_alive_timeout;
    /** Hashes of the ids of all exchanges. */
    std::vector<std::uint64_t> exchange_ids;
    invalid_response_observer on_invalid_response;
    bool has_invalid_response = false;
    bool is_single_use = false;

    void begin_response();
    /** Handles the error of a read. If the response is not valid, no later
        bytes are read, as nothing tells where the next response begins. */
    std::error_code fail_read(std::error_code error);
    bool is_interim_response() const;
    /** Whether the response has ended with its connection, which may have been
        reset. */
    bool has_ambiguous_end() const;
};

void http_connection::implementation::begin_response()
{
    is_reusable = false;
    parser = std::make_unique<response_parser>();
    parser->header_limit(max_response_header_bytes);
    parser->body_limit(std::numeric_limits<std::uint64_t>::max());
    parser->skip(is_head_request);
}

std::error_code
http_connection::implementation::fail_read(std::error_code error)
{
    if (!is_invalid_message(error))
        return error;
    has_invalid_response = true;
    is_reusable = false;
    parser = nullptr;
    buffer.clear();
    stream.close();
    if (on_invalid_response)
        on_invalid_response(endpoint, error);
    return error;
}

bool http_connection::implementation::is_interim_response() const
{
    return beast_http::to_status_class(parser->get().result_int()) ==
           beast_http::status_class::informational;
}

bool http_connection::implementation::has_ambiguous_end() const
{
    // A write that fails because of a reset consumes the error of the socket.
    return has_write_failed && parser->need_eof() && parser->is_done();
}

http_connection::http_connection(std::unique_ptr<implementation> state)
    : implementation_(std::move(state))
{
}

http_connection::~http_connection() = default;

result<std::unique_ptr<http_connection>> http_connection::connect(
    boost::asio::io_context& context, const http_endpoint& endpoint,
    std::chrono::milliseconds timeout, boost::asio::yield_context yield)
{
    const result<boost::asio::ip::tcp::endpoint> address =
        to_tcp_endpoint(endpoint);
    if (!address)
        return address.error();

    std::unique_ptr<implementation> state =
        std::make_unique<implementation>(context, endpoint);
    boost::system::error_code error;
    state->stream.expires_after(timeout);
    state->stream.async_connect(address.value(), yield[error]);
    if (error == boost::asio::error::connection_refused)
        return make_error_code(http_error::connection_refused);
    if (error)
        return make_error_code(http_error::connect_failed);
    set_socket_options(state->stream.socket());
    return std::unique_ptr<http_connection>(
        new http_connection(std::move(state)));
}

result<void> http_connection::send(http_request request,
                                   std::chrono::milliseconds timeout,
                                   boost::asio::yield_context yield)
{
    implementation::request_message message;
    message.version(11);
    message.method_string(request.method);
    message.target(request.target);
    for (const http_header& field : request.headers.fields())
        message.insert(field.name, field.value);
    if (!request.headers.has("Host"))
        message.set(beast_http::field::host, endpoint().text());
    message.body() = std::move(request.body);
    message.prepare_payload();

    implementation_->is_head_request = request.method == "HEAD";
    implementation_->has_write_failed = false;
    implementation_->interim_responses = 0;
    implementation_->begin_response();
    implementation_->message.emplace(std::move(message));
    implementation_->serializer =
        std::make_unique<implementation::request_serializer>(
            *implementation_->message);
    return continue_send(timeout, yield);
}

result<void> http_connection::continue_send(std::chrono::milliseconds timeout,
                                            boost::asio::yield_context yield)
{
    if (!implementation_->serializer)
        return outcome::success();
    boost::system::error_code error;
    implementation_->stream.expires_never();
    const socket_timeout limit(implementation_->stream.socket(), timeout);
    beast_http::async_write(implementation_->stream,
                            *implementation_->serializer, yield[error]);
    if (error && limit.to_error(error) == http_error::timed_out)
        return make_error_code(http_error::timed_out);
    implementation_->serializer = nullptr;
    // An assignment would keep the memory of the body.
    implementation_->message.reset();
    implementation_->has_write_failed = static_cast<bool>(error);
    if (error)
        return limit.to_error(error);
    return outcome::success();
}

result<http_response_head>
http_connection::read_head(std::chrono::milliseconds timeout,
                           boost::asio::yield_context yield)
{
    if (!implementation_->parser)
        return make_error_code(http_error::not_open);
    boost::system::error_code error;
    implementation_->stream.expires_never();
    const socket_timeout limit(implementation_->stream.socket(), timeout);
    for (;;)
    {
        beast_http::async_read_header(implementation_->stream,
                                      implementation_->buffer,
                                      *implementation_->parser, yield[error]);
        if (error)
            return implementation_->fail_read(limit.to_error(error));
        const result<void> validity =
            check_response_head(implementation_->parser->get());
        if (!validity)
            return implementation_->fail_read(validity.error());
        if (!implementation_->is_interim_response())
            break;
        if (++implementation_->interim_responses > max_interim_responses)
            return implementation_->fail_read(
                make_error_code(http_error::bad_message));
        implementation_->begin_response();
    }

    const implementation::response_parser::value_type& message =
        implementation_->parser->get();
    implementation_->keep_alive_timeout =
        parse_keep_alive_timeout(std::string_view(
            message["Keep-Alive"].data(), message["Keep-Alive"].size()));
    http_response_head head;
    head.status = message.result_int();
    for (const beast_http::fields::value_type& field : message)
    {
        if (head.headers.fields().size() == max_response_fields)
            return implementation_->fail_read(
                make_error_code(http_error::too_large));
        head.headers.add(std::string(field.name_string()),
                         std::string(field.value()));
    }
    return head;
}

result<std::string>
http_connection::read_some(std::chrono::milliseconds timeout,
                           boost::asio::yield_context yield)
{
    if (!implementation_->parser)
        return make_error_code(http_error::not_open);

    implementation::response_parser& parser = *implementation_->parser;
    std::string chunk;
    implementation_->stream.expires_never();
    const socket_timeout limit(implementation_->stream.socket(), timeout);
    while (chunk.empty() && !parser.is_done())
    {
        chunk.resize(read_buffer_bytes);
        parser.get().body().data = chunk.data();
        parser.get().body().size = chunk.size();
        boost::system::error_code error;
        beast_http::async_read_some(implementation_->stream,
                                    implementation_->buffer, parser,
                                    yield[error]);
        const bool is_buffer_full = error == beast_http::error::need_buffer;
        if (error && !is_buffer_full)
            return implementation_->fail_read(limit.to_error(error));
        chunk.resize(chunk.size() - parser.get().body().size);
    }
    if (chunk.empty() && implementation_->has_ambiguous_end())
        return make_error_code(http_error::broken);
    if (parser.is_done())
        implementation_->is_reusable =
            parser.keep_alive() && implementation_->buffer.size() == 0;
    return chunk;
}

result<std::string>
http_connection::read_available(std::size_t max_bytes,
                                std::chrono::milliseconds timeout,
                                boost::asio::yield_context yield)
{
    result<std::string> bytes = read_some(timeout, yield);
    if (!bytes || bytes.value().empty())
        return bytes;
    implementation::response_parser& parser = *implementation_->parser;
    while (!parser.is_done() && bytes.value().size() < max_bytes &&
           has_unread_data())
    {
        std::string chunk(read_buffer_bytes, '\0');
        parser.get().body().data = chunk.data();
        parser.get().body().size = chunk.size();
        boost::system::error_code error;
        // Does not wait, as there is unread data.
        beast_http::read_some(implementation_->stream.socket(),
                              implementation_->buffer, parser, error);
        if (error && error != beast_http::error::need_buffer)
            return implementation_->fail_read(to_http_error(error));
        chunk.resize(chunk.size() - parser.get().body().size);
        bytes.value() += chunk;
    }
    if (parser.is_done())
        implementation_->is_reusable =
            parser.keep_alive() && implementation_->buffer.size() == 0;
    return bytes;
}

bool http_connection::ends_with_connection() const
{
    return implementation_->parser && implementation_->parser->need_eof();
}

result<std::string>
http_connection::read_remaining(std::size_t max_body_bytes,
                                std::chrono::milliseconds timeout,
                                boost::asio::yield_context yield)
{
    const time_point deadline = boot_clock::now() + timeout;
    std::string body;
    for (;;)
    {
        const std::chrono::milliseconds remaining =
            std::chrono::duration_cast<std::chrono::milliseconds>(
                deadline - boot_clock::now());
        if (remaining <= std::chrono::milliseconds(0))
            return make_error_code(http_error::timed_out);
        const result<std::string> chunk = read_some(remaining, yield);
        if (!chunk)
            return chunk.error();
        if (chunk.value().empty())
            return body;
        body += chunk.value();
        if (body.size() > max_body_bytes)
            return make_error_code(http_error::too_large);
    }
}

void http_connection::on_invalid_response(invalid_response_observer observer)
{
    implementation_->on_invalid_response = std::move(observer);
}

void http_connection::add_exchange_id(std::string_view id)
{
    implementation_->exchange_ids.push_back(stable_hash(id));
}

bool http_connection::has_carried(std::string_view id) const
{
    const std::vector<std::uint64_t>& ids = implementation_->exchange_ids;
    return std::find(ids.begin(), ids.end(), stable_hash(id)) != ids.end();
}

bool http_connection::is_reusable() const
{
    return implementation_->is_reusable && !implementation_->is_single_use &&
           implementation_->exchange_ids.size() < max_identified_exchanges;
}

bool http_connection::is_open_and_idle() const
{
    char peeked = 0;
    const ssize_t count =
        ::recv(implementation_->stream.socket().native_handle(), &peeked, 1,
               MSG_PEEK | MSG_DONTWAIT);
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

std::optional<std::chrono::seconds> http_connection::keep_alive_timeout() const
{
    return implementation_->keep_alive_timeout;
}

void http_connection::expect_another_response()
{
    implementation_->begin_response();
}

bool http_connection::has_unread_data() const
{
    boost::system::error_code ignored;
    return implementation_->stream.socket().available(ignored) > 0;
}

bool http_connection::has_received() const
{
    return implementation_->has_invalid_response ||
           implementation_->buffer.size() > 0 ||
           (implementation_->parser && implementation_->parser->got_some());
}

const http_endpoint& http_connection::endpoint() const
{
    return implementation_->endpoint;
}

void http_connection::abort_on_close(std::chrono::milliseconds delivery_timeout)
{
    implementation_->is_single_use = true;
    boost::asio::ip::tcp::socket& socket = implementation_->stream.socket();
    boost::system::error_code ignored;
    socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    const boost::asio::detail::socket_option::integer<IPPROTO_TCP,
                                                      TCP_USER_TIMEOUT>
        user_timeout(static_cast<int>(delivery_timeout.count()));
    socket.set_option(user_timeout, ignored);
}

void http_connection::close()
{
    implementation_->is_reusable = false;
    implementation_->stream.close();
}

} // namespace hibiscusferry
