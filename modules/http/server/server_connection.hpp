#ifndef HIBISCUSFERRY_HTTP_SERVER_SERVER_CONNECTION_HPP
#define HIBISCUSFERRY_HTTP_SERVER_SERVER_CONNECTION_HPP

#include "http/server/beast_support.hpp"
#include "http/server/http_exchange.hpp"
#include "http/server/http_server.hpp"
#include <optional>

// Server connections and exchanges shared by the sources of this module; not
// public.

namespace hibiscusferry
{

/** A connection accepted by a server. */
struct server_connection
{
    server_connection(boost::asio::ip::tcp::socket socket,
                      const http_server_limits& server_limits)
        : stream(std::move(socket))
        , limits(server_limits)
        , memory(server_limits.memory, memory_use::request)
    {
        begin_phase(connection_phase::idle);
    }

    void begin_phase(connection_phase phase)
    {
        const time_point now = boot_clock::now();
        progress = {phase, 0, now, now};
    }

    void count_progress(std::size_t bytes)
    {
        progress.transferred_bytes += bytes;
        progress.last_progress_at = boot_clock::now();
    }

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    const http_server_limits limits;
    /** The memory of the connection and of the request that it receives. */
    memory_budget::reservation memory;
    connection_progress progress;
    /** Why the server drops the connection; none otherwise. */
    std::optional<exchange_failure_cause> drop_cause;
    /** How long connections had been waiting to be accepted when this one was
        accepted; an upper bound of its own wait. */
    std::chrono::milliseconds accept_delay{0};
    bool closes_after_responses = false;
    /** True if a response has announced that the connection will be closed. */
    bool has_announced_close = false;
    /** When the connection became idle, or std::nullopt while a request is in
        progress. */
    std::optional<time_point> idle_since;
    /** The longest idle timeout in force since the connection became idle. */
    std::chrono::milliseconds idle_timeout{0};
};

/** The client's address and port; empty if the connection is closed. */
http_endpoint remote_endpoint(const server_connection& connection);

/** The exchange that is passed to a server's request handler. */
class server_exchange final : public http_exchange
{
public:
    server_exchange(server_connection& connection, http_request request,
                    time_point arrived_at, bool keeps_alive);
    ~server_exchange() override;
    server_exchange(const server_exchange&) = delete;
    server_exchange& operator=(const server_exchange&) = delete;

    const http_request& request() const override;
    void discard_request_body() override;
    http_endpoint client() const override;
    time_point arrived_at() const override;
    std::chrono::milliseconds accept_delay() const override;
    result<void> respond(const http_response& response,
                         boost::asio::yield_context yield) override;
    result<void> begin_stream(const http_response_head& head,
                              boost::asio::yield_context yield) override;
    result<void> write_chunk(std::string_view chunk,
                             boost::asio::yield_context yield) override;
    result<void> end_stream(boost::asio::yield_context yield) override;
    bool has_started_response() const override;
    bool is_client_disconnected() override;
    void on_client_disconnect(std::function<void()> handler) override;
    void close_after_response() override;

    /** Drops the handler of on_client_disconnect(), which must not outlive the
        state of the request handler. */
    void drop_disconnect_handler();

    /** Returns true if the complete response has been written. */
    bool is_complete() const;

    /** The error of the first write that failed, if any. */
    std::error_code write_error() const;

    /** Returns true if the connection remains open for another request after
        this response. */
    bool keeps_alive() const;

private:
    /** State shared with the asynchronous wait for a client disconnect, which
        may outlive the exchange. */
    struct client_watch
    {
        server_exchange* exchange = nullptr;
        std::function<void()> handler;
    };

    result<void> check_write(const boost::system::error_code& error);
    /** The response to such a request has no body. */
    bool is_head_request() const;

    server_connection& connection_;
    http_request request_;
    time_point arrived_at_;
    std::shared_ptr<client_watch> watch_;
    bool keeps_alive_;
    bool has_started_response_ = false;
    bool is_complete_ = false;
    std::error_code write_error_;
};

} // namespace hibiscusferry

#endif
