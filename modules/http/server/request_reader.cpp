#include "http/server/request_reader.hpp"

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
             std::chrono::milliseconds timeout,
             boost::asio::yield_context yield)
{
    const request_timer timer(connection, timeout);
    boost::system::error_code error;
    beast_http::async_read_header(connection.stream, connection.buffer, parser,
                                  yield[error]);
    if (!error && expects_continue(parser))
        boost::asio::async_write(
            connection.stream,
            boost::asio::buffer(continue_response,
                                sizeof continue_response - 1),
            yield[error]);
    if (!error)
        beast_http::async_read(connection.stream, connection.buffer, parser,
                               yield[error]);
    if (!error)
        return outcome::success();
    if (timer.has_expired() && parser.got_some())
        return make_error_code(http_error::timed_out);
    return to_http_error(error);
}

void refuse_request(server_connection& connection, std::error_code reason,
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

    server_exchange exchange(connection, {}, boot_clock::now(), false);
    const result<void> ignored = exchange.respond(
        json_response(status, R"({"error":{"code":"bad_request","outcome":)"
                              R"("not_run","message":")" +
                                  reason.message() + "\"}}"),
        yield);
    static_cast<void>(ignored);
    linger(connection, yield);
}

} // namespace hibiscusferry
