#ifndef HIBISCUSFERRY_HTTP_SERVER_SERVER_CONNECTION_HPP
#define HIBISCUSFERRY_HTTP_SERVER_SERVER_CONNECTION_HPP

#include "http/server/beast_support.hpp"
#include "http/server/http_exchange.hpp"
#include "http/server/http_server.hpp"
#include <optional>

// Private to the module: a server's connection and its exchanges.

namespace hibiscusferry
{

/** A client's connection at a server. */
struct server_connection
{
    server_connection(boost::asio::ip::tcp::socket socket,
                      const http_server_limits& allowed)
        : stream(std::move(socket))
        , limits(allowed)
    {
    }

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    const http_server_limits limits;
    bool closes_after_answers = false;
    /** The client was told that the connection closes. */
    bool has_announced_close = false;
    /** Since when no request is in progress; none while there is one. */
    std::optional<time_point> idle_since;
};

/** The exchange that a server's handler is given. */
class server_exchange final : public http_exchange
{
public:
    server_exchange(server_connection& connection, http_request request,
                    bool keeps_alive);
    ~server_exchange() override;
    server_exchange(const server_exchange&) = delete;
    server_exchange& operator=(const server_exchange&) = delete;

    const http_request& request() const override;
    http_endpoint client() const override;
    result<void> respond(const http_response& response,
                         boost::asio::yield_context yield) override;
    result<void> begin_stream(const http_response_head& head,
                              boost::asio::yield_context yield) override;
    result<void> write_chunk(std::string_view piece,
                             boost::asio::yield_context yield) override;
    result<void> end_stream(boost::asio::yield_context yield) override;
    bool has_begun() const override;
    bool is_client_disconnected() override;
    void on_client_disconnect(std::function<void()> handler) override;
    void close_after_answer() override;

    /** Whether the whole answer was handed to the connection. */
    bool is_complete() const;

    /** Whether the connection serves another request after this one. */
    bool keeps_alive() const;

private:
    /** Shared with the wait for the client's close, which may outlive the
        exchange. */
    struct client_watch
    {
        server_exchange* exchange = nullptr;
        std::function<void()> handler;
    };

    server_connection& connection_;
    http_request request_;
    std::shared_ptr<client_watch> watch_;
    bool keeps_alive_;
    bool has_begun_ = false;
    bool is_complete_ = false;
};

} // namespace hibiscusferry

#endif
