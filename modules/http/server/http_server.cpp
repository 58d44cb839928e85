#include "http/server/http_server.hpp"

#include "http/server/server_connection.hpp"
#include "http/server/task.hpp"
#include <set>

namespace hibiscusferry
{

namespace
{

using connection_set = std::set<std::shared_ptr<server_connection>>;

/** Counts an exchange for as long as its handler runs. */
class counted_exchange
{
public:
    explicit counted_exchange(std::size_t& count)
        : count_(count)
    {
        ++count_;
    }

    ~counted_exchange()
    {
        --count_;
    }

    counted_exchange(const counted_exchange&) = delete;
    counted_exchange& operator=(const counted_exchange&) = delete;

private:
    std::size_t& count_;
};

/** Keeps a connection in the server's set until its task ends, by whatever
    way, and shuts it down then. */
class registered_connection
{
public:
    registered_connection(connection_set& connections,
                          std::shared_ptr<server_connection> connection)
        : connections_(connections)
        , connection_(std::move(connection))
    {
        connections_.insert(connection_);
    }

    ~registered_connection()
    {
        boost::system::error_code ignored;
        connection_->stream.socket().shutdown(
            boost::asio::ip::tcp::socket::shutdown_both, ignored);
        connections_.erase(connection_);
    }

    registered_connection(const registered_connection&) = delete;
    registered_connection& operator=(const registered_connection&) = delete;

private:
    connection_set& connections_;
    std::shared_ptr<server_connection> connection_;
};

} // namespace

struct http_server::implementation
    : std::enable_shared_from_this<http_server::implementation>
{
    implementation(boost::asio::io_context& the_context,
                   const http_server_limits& the_limits, handler the_handler)
        : context(the_context)
        , acceptor(the_context)
        , limits(the_limits)
        , on_request(std::move(the_handler))
    {
    }

    void accept_all(boost::asio::yield_context yield);
    void sweep_idle(boost::asio::yield_context yield);
    bool wait_for_request(server_connection& connection,
                          boost::asio::yield_context yield);
    void serve(const std::shared_ptr<server_connection>& connection,
               boost::asio::yield_context yield);
    bool serve_one(server_connection& connection,
                   boost::asio::yield_context yield);

    boost::asio::io_context& context;
    boost::asio::ip::tcp::acceptor acceptor;
    http_server_limits limits;
    handler on_request;
    connection_set connections;
    std::size_t exchanges = 0;
    bool closes_after_answers = false;
    /** close() was called. */
    bool is_cut_off = false;
};

namespace
{

constexpr std::chrono::milliseconds accept_pause{50};

/** Between two looks for connections that were idle for too long. */
constexpr std::chrono::milliseconds idle_sweep_period{500};

/** How long a connection stays readable after its last answer, so that a
    request that crossed the announcement of the close is still answered and
    the answer is not lost to a reset. */
constexpr std::chrono::milliseconds close_linger{1000};

/** An interim answer for a client that waits before it sends its body. */
constexpr char continue_line[] = "HTTP/1.1 100 Continue\r\n\r\n";

/** Whether a client asks for a 100 (Continue) before it sends its body. */
bool expects_continue(
    const beast_http::request_parser<beast_http::string_body>& parser)
{
    return boost::beast::iequals(parser.get()[beast_http::field::expect],
                                 "100-continue");
}

/** Reads and drops what a refused client still sends, until it closes. */
void linger(server_connection& connection, boost::asio::yield_context yield)
{
    boost::system::error_code error;
    connection.stream.socket().shutdown(
        boost::asio::ip::tcp::socket::shutdown_send, error);
    connection.stream.expires_after(close_linger);
    while (!error)
    {
        connection.buffer.clear();
        connection.stream.async_read_some(connection.buffer.prepare(4096),
                                          yield[error]);
    }
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

/** Tells a client whose request could not be read why. */
void refuse_request(server_connection& connection, std::error_code reason,
                    boost::asio::yield_context yield)
{
    // A connection that timed out or broke is already closed.
    const bool is_open =
        reason == http_error::too_large || reason == http_error::bad_message;
    if (!is_open)
        return;
    const unsigned status = reason == http_error::too_large ? 413 : 400;

    server_exchange exchange(connection, {}, false);
    const result<void> ignored = exchange.respond(
        json_response(status, R"({"error":{"code":"bad_request","outcome":)"
                              R"("not_run","message":")" +
                                  reason.message() + "\"}}"),
        yield);
    static_cast<void>(ignored);
    linger(connection, yield);
}

} // namespace

bool http_server::implementation::wait_for_request(
    server_connection& connection, boost::asio::yield_context yield)
{
    if (connection.buffer.size() > 0)
        return true;
    // Idle connections hold no buffer.
    connection.buffer.shrink_to_fit();
    boost::system::error_code error;
    connection.idle_since = boot_clock::now();
    connection.stream.expires_never();
    connection.stream.socket().async_wait(
        boost::asio::ip::tcp::socket::wait_read, yield[error]);
    connection.idle_since.reset();
    return !error && connection.stream.socket().is_open();
}

void http_server::implementation::sweep_idle(boost::asio::yield_context yield)
{
    while (acceptor.is_open())
    {
        sleep_for(context, idle_sweep_period, yield);
        const time_point now = boot_clock::now();
        for (const std::shared_ptr<server_connection>& connection : connections)
        {
            if (!connection->idle_since)
                continue;
            const std::chrono::milliseconds limit =
                connection->has_announced_close ? close_linger
                                                : limits.idle_timeout;
            if (now - *connection->idle_since > limit)
                connection->stream.close();
        }
    }
}

bool http_server::implementation::serve_one(server_connection& connection,
                                            boost::asio::yield_context yield)
{
    // The first byte may take long; the rest of the request may not.
    if (!wait_for_request(connection, yield))
        return false;

    boost::system::error_code error;
    beast_http::request_parser<beast_http::string_body> parser;
    parser.header_limit(static_cast<std::uint32_t>(limits.header_bytes));
    parser.body_limit(limits.body_bytes);
    connection.stream.expires_after(limits.request_timeout);
    beast_http::async_read_header(connection.stream, connection.buffer, parser,
                                  yield[error]);
    if (!error && expects_continue(parser))
        boost::asio::async_write(
            connection.stream,
            boost::asio::buffer(continue_line, sizeof continue_line - 1),
            yield[error]);
    if (!error)
        beast_http::async_read(connection.stream, connection.buffer, parser,
                               yield[error]);
    if (error)
    {
        refuse_request(connection, to_http_error(error), yield);
        return false;
    }

    connection.stream.expires_never();
    connection.closes_after_answers = closes_after_answers;
    const bool keeps_alive = parser.get().keep_alive();
    server_exchange exchange(connection, to_http_request(parser.release()),
                             keeps_alive);
    const counted_exchange counted(exchanges);
    on_request(exchange, yield);
    if (!exchange.is_complete())
        return false;
    return exchange.keeps_alive() || (keeps_alive && !is_cut_off);
}

void http_server::implementation::serve(
    const std::shared_ptr<server_connection>& connection,
    boost::asio::yield_context yield)
{
    const registered_connection registered(connections, connection);
    while (serve_one(*connection, yield))
    {
    }
}

void http_server::implementation::accept_all(boost::asio::yield_context yield)
{
    while (acceptor.is_open())
    {
        boost::system::error_code error;
        boost::asio::ip::tcp::socket socket(context);
        acceptor.async_accept(socket, yield[error]);
        if (!acceptor.is_open())
            return;
        if (error)
        {
            // Out of descriptors, for example: others may be closed soon.
            sleep_for(context, accept_pause, yield);
            continue;
        }
        if (connections.size() >= limits.connections)
            continue;

        set_socket_options(socket);
        const std::shared_ptr<server_connection> connection =
            std::make_shared<server_connection>(std::move(socket), limits);
        start_task(context, [self = shared_from_this(),
                             connection](boost::asio::yield_context inner)
                   { self->serve(connection, inner); });
    }
}

http_server::http_server(std::shared_ptr<implementation> parts)
    : implementation_(std::move(parts))
{
}

http_server::~http_server()
{
    close();
}

result<std::unique_ptr<http_server>>
http_server::listen(boost::asio::io_context& context,
                    const http_endpoint& endpoint,
                    const http_server_limits& limits, handler on_request)
{
    const result<boost::asio::ip::tcp::endpoint> address =
        to_tcp_endpoint(endpoint);
    if (!address)
        return address.error();

    const std::shared_ptr<implementation> parts =
        std::make_shared<implementation>(context, limits,
                                         std::move(on_request));
    boost::system::error_code error;
    parts->acceptor.open(address.value().protocol(), error);
    if (!error)
        parts->acceptor.set_option(
            boost::asio::socket_base::reuse_address(true), error);
    if (!error)
        parts->acceptor.bind(address.value(), error);
    if (!error)
        parts->acceptor.listen(boost::asio::socket_base::max_listen_connections,
                               error);
    if (error)
        return make_error_code(http_error::bad_address);

    start_task(context, [parts](boost::asio::yield_context yield)
               { parts->accept_all(yield); });
    start_task(context, [parts](boost::asio::yield_context yield)
               { parts->sweep_idle(yield); });
    return std::unique_ptr<http_server>(new http_server(parts));
}

http_endpoint http_server::endpoint() const
{
    boost::system::error_code error;
    const boost::asio::ip::tcp::endpoint local =
        implementation_->acceptor.local_endpoint(error);
    if (error)
        return {};
    return {local.address().to_string(), local.port()};
}

std::size_t http_server::active_exchanges() const
{
    return implementation_->exchanges;
}

std::size_t http_server::open_connections() const
{
    return implementation_->connections.size();
}

void http_server::close_after_responses()
{
    implementation_->closes_after_answers = true;
    for (const std::shared_ptr<server_connection>& connection :
         implementation_->connections)
        connection->closes_after_answers = true;
}

void http_server::set_limits(const http_server_limits& limits)
{
    implementation_->limits = limits;
}

void http_server::close_idle()
{
    for (const std::shared_ptr<server_connection>& connection :
         implementation_->connections)
    {
        if (connection->idle_since)
            connection->stream.close();
    }
}

void http_server::close()
{
    boost::system::error_code ignored;
    implementation_->is_cut_off = true;
    implementation_->acceptor.close(ignored);
    for (const std::shared_ptr<server_connection>& connection :
         implementation_->connections)
        connection->stream.close();
}

} // namespace hibiscusferry
