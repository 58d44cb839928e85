#include "http/server/http_exchange.hpp"

#include "http/server/server_connection.hpp"
#include <sys/socket.h>

namespace hibiscusferry
{

namespace
{

void copy_headers(const http_headers& source, beast_http::fields& destination)
{
    for (const http_header& field : source.fields())
        destination.insert(field.name, field.value);
}

bool has_body(unsigned status)
{
    return status >= 200 && status != 204 && status != 304;
}

} // namespace

http_endpoint remote_endpoint(const server_connection& connection)
{
    boost::system::error_code error;
    const boost::asio::ip::tcp::endpoint remote =
        connection.stream.socket().remote_endpoint(error);
    if (error)
        return {};
    return {remote.address().to_string(), remote.port()};
}

server_exchange::server_exchange(server_connection& connection,
                                 http_request request, time_point arrived_at,
                                 bool keeps_alive)
    : connection_(connection)
    , request_(std::move(request))
    , arrived_at_(arrived_at)
    , keeps_alive_(keeps_alive)
{
}

server_exchange::~server_exchange()
{
    connection_.accept_delay = std::chrono::milliseconds(0);
    if (!watch_)
        return;
    watch_->exchange = nullptr;
    boost::system::error_code ignored;
    connection_.stream.socket().cancel(ignored);
}

const http_request& server_exchange::request() const
{
    return request_;
}

void server_exchange::discard_request_body()
{
    // An assignment of an empty string would keep the memory.
    std::string().swap(request_.body);
}

http_endpoint server_exchange::client() const
{
    return remote_endpoint(connection_);
}

time_point server_exchange::arrived_at() const
{
    return arrived_at_;
}

std::chrono::milliseconds server_exchange::accept_delay() const
{
    return connection_.accept_delay;
}

result<void> server_exchange::respond(const http_response& response,
                                      boost::asio::yield_context yield)
{
    if (has_started_response_)
        return make_error_code(http_error::not_open);
    has_started_response_ = true;

    // The body is not copied: a client that does not read keeps one copy.
    beast_http::response<beast_http::span_body<const char>> message;
    message.version(11);
    message.result(response.status);
    copy_headers(response.headers, message);
    message.keep_alive(keeps_alive());
    connection_.has_announced_close = !keeps_alive();
    if (has_body(response.status))
    {
        message.body() = boost::beast::span<const char>(response.body.data(),
                                                        response.body.size());
        message.prepare_payload();
    }

    boost::system::error_code error;
    connection_.stream.expires_after(connection_.limits.write_timeout);
    beast_http::response_serializer<beast_http::span_body<const char>>
        serializer(message);
    connection_.begin_phase(connection_phase::responding);
    if (is_head_request())
        beast_http::async_write_header(connection_.stream, serializer,
                                       yield[error]);
    while (!error && !is_head_request() && !serializer.is_done())
        connection_.count_progress(beast_http::async_write_some(
            connection_.stream, serializer, yield[error]));
    connection_.begin_phase(connection_phase::handling);
    is_complete_ = !error;
    return check_write(error);
}

result<void> server_exchange::begin_stream(const http_response_head& head,
                                           boost::asio::yield_context yield)
{
    if (has_started_response_)
        return make_error_code(http_error::not_open);
    has_started_response_ = true;

    beast_http::response<beast_http::empty_body> message;
    message.version(11);
    message.result(head.status);
    copy_headers(head.headers, message);
    message.keep_alive(keeps_alive());
    connection_.has_announced_close = !keeps_alive();
    message.chunked(true);
    beast_http::response_serializer<beast_http::empty_body> serializer(message);

    boost::system::error_code error;
    connection_.stream.expires_after(connection_.limits.write_timeout);
    beast_http::async_write_header(connection_.stream, serializer,
                                   yield[error]);
    return check_write(error);
}

result<void> server_exchange::write_chunk(std::string_view chunk,
                                          boost::asio::yield_context yield)
{
    if (chunk.empty() || is_head_request())
        return outcome::success();
    boost::system::error_code error;
    connection_.stream.expires_after(connection_.limits.write_timeout);
    connection_.begin_phase(connection_phase::responding);
    boost::asio::async_write(
        connection_.stream,
        beast_http::make_chunk(boost::asio::buffer(chunk.data(), chunk.size())),
        yield[error]);
    connection_.begin_phase(connection_phase::handling);
    return check_write(error);
}

result<void> server_exchange::end_stream(boost::asio::yield_context yield)
{
    boost::system::error_code error;
    connection_.stream.expires_after(connection_.limits.write_timeout);
    if (!is_head_request())
        boost::asio::async_write(connection_.stream,
                                 beast_http::make_chunk_last(), yield[error]);
    is_complete_ = !error;
    return check_write(error);
}

bool server_exchange::has_started_response() const
{
    return has_started_response_;
}

bool server_exchange::is_client_disconnected()
{
    char peeked = 0;
    const ssize_t count = ::recv(connection_.stream.socket().native_handle(),
                                 &peeked, 1, MSG_PEEK | MSG_DONTWAIT);
    const bool has_no_data =
        count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    return count == 0 || (count < 0 && !has_no_data);
}

void server_exchange::on_client_disconnect(std::function<void()> handler)
{
    if (watch_)
    {
        watch_->handler = std::move(handler);
        return;
    }
    watch_ = std::make_shared<client_watch>();
    watch_->exchange = this;
    watch_->handler = std::move(handler);
    connection_.stream.socket().async_wait(
        boost::asio::ip::tcp::socket::wait_read,
        [watch = watch_](const boost::system::error_code& error)
        {
            if (error || watch->exchange == nullptr || !watch->handler)
                return;
            if (!watch->exchange->is_client_disconnected())
                return;
            // It may be dropped while it runs.
            const std::function<void()> moved_handler =
                std::move(watch->handler);
            moved_handler();
        });
}

void server_exchange::drop_disconnect_handler()
{
    if (watch_)
        watch_->handler = nullptr;
}

void server_exchange::close_after_response()
{
    keeps_alive_ = false;
}

result<void>
server_exchange::check_write(const boost::system::error_code& error)
{
    if (!error)
        return outcome::success();
    if (!write_error_)
        write_error_ = to_http_error(error);
    return write_error_;
}

bool server_exchange::is_head_request() const
{
    return request_.method == "HEAD";
}

bool server_exchange::is_complete() const
{
    return is_complete_;
}

std::error_code server_exchange::write_error() const
{
    return write_error_;
}

bool server_exchange::keeps_alive() const
{
    return keeps_alive_ && !connection_.closes_after_responses;
}

} // namespace hibiscusferry
