#include "http/server/http_server.hpp"

#include "http/server/request_reader.hpp"
#include "http/server/server_connection.hpp"
#include "http/server/task.hpp"
#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <set>

namespace hibiscusferry
{

namespace
{

using connection_set = std::set<std::shared_ptr<server_connection>>;

/** Increments a counter of exchanges for the lifetime of the object. */
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

/** Drops the disconnect handler of an exchange when its request handler ends,
    including by an exception. */
class request_handler_scope
{
public:
    explicit request_handler_scope(server_exchange& exchange)
        : exchange_(exchange)
    {
    }

    ~request_handler_scope()
    {
        exchange_.drop_disconnect_handler();
    }

    request_handler_scope(const request_handler_scope&) = delete;
    request_handler_scope& operator=(const request_handler_scope&) = delete;

private:
    server_exchange& exchange_;
};

/** Keeps a connection in the server's set, and removes it and shuts it down
    when its coroutine ends, including by an exception. */
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

    void accept_connections(boost::asio::yield_context yield);
    /** @param backlog_since  since when connections have been waiting to be
                              accepted without interruption */
    void accept_connection(boost::asio::ip::tcp::socket socket,
                           const std::optional<time_point>& backlog_since);
    void close_expired_connections(boost::asio::yield_context yield);
    bool wait_for_request(server_connection& connection,
                          boost::asio::yield_context yield);
    void serve_connection(const std::shared_ptr<server_connection>& connection,
                          boost::asio::yield_context yield);
    bool serve_request(server_connection& connection,
                       boost::asio::yield_context yield);
    /** Returns false if the handler threw an exception. */
    bool call_handler(server_exchange& exchange,
                      boost::asio::yield_context yield);
    exchange_failure_cause failure_cause(server_exchange& exchange) const;
    void report_unread_request(server_connection& connection,
                               time_point started, std::error_code reason);
    void report_unanswered_request(server_exchange& exchange,
                                   time_point started,
                                   exchange_failure_cause cause);
    void report(exchange_failure failure, time_point started);

    /** The connections that may be dropped.
        @param min_bytes  only those that hold more memory */
    std::vector<std::shared_ptr<server_connection>>
    droppable_connections(std::size_t min_bytes) const;
    /** Drops a connection and reports it. */
    void drop(server_connection& connection, exchange_failure_cause cause);
    /** Drops the slowest connection that is slower than `rate`.
        @returns whether its memory is free now */
    bool drop_slower_than(double rate);
    /** Makes room for a new connection.
        @returns false if there are too many */
    bool make_room();

    boost::asio::io_context& context;
    boost::asio::ip::tcp::acceptor acceptor;
    http_server_limits limits;
    handler on_request;
    exchange_failure_observer on_failure;
    std::function<http_response()> memory_response;
    connection_set connections;
    std::size_t exchanges = 0;
    bool closes_after_responses = false;
    /** True once close() has been called. */
    bool is_closed = false;
};

namespace
{

constexpr std::chrono::milliseconds accept_retry_delay{50};

/** Connections accepted before other handlers run again. A pass of the event
    loop handles up to 128 events, so with one connection a pass the backlog
    would grow whenever the process is busy. */
constexpr std::size_t max_accepts_per_pass = 64;

/** Interval between checks for connections that exceed the idle timeout. */
constexpr std::chrono::milliseconds idle_check_interval{500};

/** Closes a connection that is idle. A request that has been received but not
    yet read is served first: its client could not tell whether it has run. */
void close_if_idle(server_connection& connection)
{
    boost::system::error_code ignored;
    const bool has_unread_data =
        connection.stream.socket().available(ignored) > 0;
    if (connection.idle_since && !has_unread_data)
        connection.stream.close();
}

} // namespace

bool http_server::implementation::wait_for_request(
    server_connection& connection, boost::asio::yield_context yield)
{
    connection.memory.force(connection_bytes);
    if (connection.buffer.size() > 0)
        return true;
    // Release the buffer while the connection is idle.
    connection.buffer.shrink_to_fit();
    connection.begin_phase(connection_phase::idle);
    boost::system::error_code error;
    connection.idle_since = boot_clock::now();
    connection.idle_timeout = limits.idle_timeout;
    connection.stream.expires_never();
    connection.stream.socket().async_wait(
        boost::asio::ip::tcp::socket::wait_read, yield[error]);
    connection.idle_since.reset();
    return !error && connection.stream.socket().is_open();
}

void http_server::implementation::close_expired_connections(
    boost::asio::yield_context yield)
{
    while (acceptor.is_open())
    {
        sleep_for(context, idle_check_interval, yield);
        const time_point now = boot_clock::now();
        for (const std::shared_ptr<server_connection>& connection : connections)
        {
            if (!connection->idle_since)
                continue;
            const std::chrono::milliseconds limit =
                connection->has_announced_close ? linger_timeout
                                                : connection->idle_timeout;
            if (now - *connection->idle_since > limit)
                close_if_idle(*connection);
        }
    }
}

bool http_server::implementation::serve_request(
    server_connection& connection, boost::asio::yield_context yield)
{
    // The request timeout starts with the first byte of the request; until
    // then only the idle timeout applies.
    if (!wait_for_request(connection, yield))
        return false;

    const time_point started = boot_clock::now();
    std::optional<beast_http::request_parser<beast_http::string_body>> parser;
    parser.emplace();
    parser->header_limit(static_cast<std::uint32_t>(limits.header_bytes));
    parser->body_limit(limits.body_bytes);
    const std::function<bool()> reclaim = [this, &connection]
    {
        return drop_slower_than(
            shedding_policy::rate(connection.progress, boot_clock::now()));
    };
    result<void> received =
        read_request(connection, *parser, limits, reclaim, yield);
    if (received &&
        !reserve_memory(connection, handling_bytes(parser->get()), reclaim))
        received = make_error_code(http_error::memory_short);
    if (!received)
    {
        // A client that closes an idle connection has sent no request.
        if (parser->got_some() && !connection.drop_cause)
            report_unread_request(connection, started, received.error());
        // The request is released before its refusal waits for the client.
        parser.reset();
        connection.memory.force(connection_bytes);
        refuse_request(connection, received.error(), memory_response, yield);
        return false;
    }
    connection.begin_phase(connection_phase::handling);

    const time_point arrived_at =
        boot_clock::now() - time_since_last_data(connection.stream.socket());
    connection.stream.expires_never();
    connection.closes_after_responses = closes_after_responses;
    const bool keeps_alive = parser->get().keep_alive();
    server_exchange exchange(connection, to_http_request(parser->release()),
                             arrived_at, keeps_alive);
    parser.reset();
    const counted_exchange counted(exchanges);
    const bool has_failed = !call_handler(exchange, yield);
    if ((has_failed || !exchange.is_complete()) && !connection.drop_cause)
        report_unanswered_request(
            exchange, started,
            has_failed ? exchange_failure_cause::handler_exception
                       : failure_cause(exchange));
    if (has_failed && !exchange.has_started_response())
    {
        exchange.close_after_response();
        const result<void> ignored = exchange.respond(
            json_response(500, R"({"error":{"code":"internal_error"}})"),
            yield);
        static_cast<void>(ignored);
    }
    if (!exchange.is_complete())
        return false;
    return exchange.keeps_alive() || (keeps_alive && !is_closed);
}

bool http_server::implementation::call_handler(server_exchange& exchange,
                                               boost::asio::yield_context yield)
{
    const request_handler_scope scope(exchange);
    try
    {
        on_request(exchange, yield);
        return true;
    }
    catch (const std::exception& problem)
    {
        log_internal_error(problem);
        return false;
    }
}

void http_server::implementation::report_unread_request(
    server_connection& connection, time_point started, std::error_code reason)
{
    exchange_failure failure;
    failure.cause = exchange_failure_cause::request_invalid;
    if (is_closed)
        failure.cause = exchange_failure_cause::server_closed;
    else if (reason == http_error::broken)
        failure.cause = exchange_failure_cause::request_broken;
    else if (reason == http_error::timed_out)
        failure.cause = exchange_failure_cause::request_timeout;
    else if (reason == http_error::too_many_fields)
        failure.cause = exchange_failure_cause::too_many_fields;
    else if (reason == http_error::memory_short)
        failure.cause = exchange_failure_cause::memory_short;
    else if (reason == http_error::unknown_length)
        failure.cause = exchange_failure_cause::request_length_unknown;
    else if (reason == http_error::unknown_coding)
        failure.cause = exchange_failure_cause::request_coding_unknown;
    failure.client = remote_endpoint(connection);
    report(failure, started);
}

void http_server::implementation::report_unanswered_request(
    server_exchange& exchange, time_point started, exchange_failure_cause cause)
{
    exchange_failure failure;
    failure.cause = cause;
    failure.client = exchange.client();
    failure.request = &exchange.request();
    failure.has_started_response = exchange.has_started_response();
    report(failure, started);
}

void http_server::implementation::report(exchange_failure failure,
                                         time_point started)
{
    failure.elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(
        boot_clock::now() - started);
    if (on_failure)
        on_failure(failure);
}

exchange_failure_cause
http_server::implementation::failure_cause(server_exchange& exchange) const
{
    if (is_closed)
        return exchange_failure_cause::server_closed;
    if (exchange.write_error() == http_error::timed_out)
        return exchange_failure_cause::write_timeout;
    if (exchange.write_error())
        return exchange_failure_cause::write_failed;
    if (exchange.is_client_disconnected())
        return exchange_failure_cause::client_disconnected;
    return exchange_failure_cause::response_incomplete;
}

void http_server::implementation::serve_connection(
    const std::shared_ptr<server_connection>& connection,
    boost::asio::yield_context yield)
{
    const registered_connection registered(connections, connection);
    while (serve_request(*connection, yield))
    {
    }
}

std::vector<std::shared_ptr<server_connection>>
http_server::implementation::droppable_connections(std::size_t min_bytes) const
{
    std::vector<std::shared_ptr<server_connection>> droppable;
    for (const std::shared_ptr<server_connection>& connection : connections)
    {
        const bool is_open =
            !connection->drop_cause && connection->stream.socket().is_open();
        if (is_open && connection->memory.bytes() > min_bytes)
            droppable.push_back(connection);
    }
    return droppable;
}

namespace
{

std::vector<connection_progress>
progress_of(const std::vector<std::shared_ptr<server_connection>>& connections)
{
    std::vector<connection_progress> progress;
    progress.reserve(connections.size());
    for (const std::shared_ptr<server_connection>& connection : connections)
        progress.push_back(connection->progress);
    return progress;
}

} // namespace

void http_server::implementation::drop(server_connection& connection,
                                       exchange_failure_cause cause)
{
    connection.drop_cause = cause;
    exchange_failure failure;
    failure.cause = cause;
    failure.client = remote_endpoint(connection);
    failure.has_started_response =
        connection.progress.phase == connection_phase::responding;
    report(failure, connection.progress.begun_at);
}

bool http_server::implementation::drop_slower_than(double rate)
{
    const time_point now = boot_clock::now();
    // Small requests are dropped only if no large one can be.
    std::vector<std::shared_ptr<server_connection>> candidates =
        droppable_connections(memory_budget::small_bytes);
    std::optional<std::size_t> slowest =
        shedding_policy::select_for_memory(progress_of(candidates), rate, now);
    if (!slowest)
    {
        candidates = droppable_connections(connection_bytes);
        slowest = shedding_policy::select_for_memory(progress_of(candidates),
                                                     rate, now);
    }
    if (!slowest)
        return false;
    server_connection& dropped = *candidates[*slowest];
    drop(dropped, exchange_failure_cause::slow_client_dropped);
    const bool is_receiving =
        dropped.progress.phase == connection_phase::receiving;
    // A request that has not run is refused with 408 by its coroutine, which
    // releases it in this pass of the event loop.
    if (is_receiving)
        dropped.stream.cancel();
    else
        dropped.stream.close();
    const bool has_released = dropped.memory.bytes() > connection_bytes;
    dropped.memory.force(std::min(dropped.memory.bytes(), connection_bytes));
    return has_released;
}

bool http_server::implementation::make_room()
{
    if (connections.size() < limits.connections)
        return true;
    const std::ptrdiff_t open =
        std::count_if(connections.begin(), connections.end(),
                      [](const std::shared_ptr<server_connection>& connection)
                      { return connection->stream.socket().is_open(); });
    if (static_cast<std::size_t>(open) < limits.connections)
        return true;
    const std::vector<std::shared_ptr<server_connection>> candidates =
        droppable_connections(0);
    const std::optional<std::size_t> selected =
        shedding_policy::select_for_descriptor(
            progress_of(candidates), limits.min_drop_age, boot_clock::now());
    if (!selected)
        return false;
    server_connection& dropped = *candidates[*selected];
    drop(dropped, exchange_failure_cause::connection_dropped);
    dropped.stream.close();
    return true;
}

void http_server::implementation::accept_connections(
    boost::asio::yield_context yield)
{
    boost::system::error_code error;
    acceptor.non_blocking(true, error);
    std::optional<time_point> backlog_since;
    std::size_t accepted_in_pass = 0;
    while (acceptor.is_open())
    {
        boost::asio::ip::tcp::socket socket(context);
        acceptor.accept(socket, error);
        if (error == boost::asio::error::would_block)
        {
            acceptor.async_wait(boost::asio::ip::tcp::acceptor::wait_read,
                                yield[error]);
            backlog_since = boot_clock::now();
            accepted_in_pass = 0;
            continue;
        }
        if (error)
        {
            // For example, no file descriptors are left. Retry later, when
            // other connections may have been closed.
            sleep_for(context, accept_retry_delay, yield);
            continue;
        }
        accept_connection(std::move(socket), backlog_since);
        if (++accepted_in_pass < max_accepts_per_pass)
            continue;
        accepted_in_pass = 0;
        boost::asio::post(context, yield);
    }
}

void http_server::implementation::accept_connection(
    boost::asio::ip::tcp::socket socket,
    const std::optional<time_point>& backlog_since)
{
    const std::shared_ptr<server_connection> connection =
        std::make_shared<server_connection>(std::move(socket), limits);
    if (backlog_since)
        connection->accept_delay =
            std::chrono::duration_cast<std::chrono::milliseconds>(
                boot_clock::now() - *backlog_since);
    if (!make_room() || !connection->memory.resize(connection_bytes))
    {
        exchange_failure failure;
        failure.cause = exchange_failure_cause::connection_limit;
        failure.client = remote_endpoint(*connection);
        report(failure, boot_clock::now());
        return;
    }

    // Connections that have not begun to run count, too.
    connections.insert(connection);
    set_socket_options(connection->stream.socket());
    start_task(context, [self = shared_from_this(),
                         connection](boost::asio::yield_context inner)
               { self->serve_connection(connection, inner); });
}

http_server::http_server(std::shared_ptr<implementation> state)
    : implementation_(std::move(state))
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

    const std::shared_ptr<implementation> state =
        std::make_shared<implementation>(context, limits,
                                         std::move(on_request));
    boost::system::error_code error;
    state->acceptor.open(address.value().protocol(), error);
    if (!error)
        state->acceptor.set_option(
            boost::asio::socket_base::reuse_address(true), error);
    if (!error)
        state->acceptor.bind(address.value(), error);
    if (!error)
        state->acceptor.listen(boost::asio::socket_base::max_listen_connections,
                               error);
    if (error == boost::asio::error::address_in_use)
        return make_error_code(http_error::address_in_use);
    if (error)
        return make_error_code(http_error::bad_address);

    start_task(context, [state](boost::asio::yield_context yield)
               { state->accept_connections(yield); });
    start_task(context, [state](boost::asio::yield_context yield)
               { state->close_expired_connections(yield); });
    return std::unique_ptr<http_server>(new http_server(state));
}

void http_server::on_exchange_failure(exchange_failure_observer observer)
{
    implementation_->on_failure = std::move(observer);
}

void http_server::on_memory_short(std::function<http_response()> response)
{
    implementation_->memory_response = std::move(response);
}

bool http_server::drop_stopped_connection()
{
    return implementation_->drop_slower_than(
        shedding_policy::min_bytes_per_second);
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
    implementation_->closes_after_responses = true;
    for (const std::shared_ptr<server_connection>& connection :
         implementation_->connections)
        connection->closes_after_responses = true;
}

void http_server::set_limits(const http_server_limits& limits)
{
    implementation_->limits = limits;
    for (const std::shared_ptr<server_connection>& connection :
         implementation_->connections)
        connection->idle_timeout =
            std::max(connection->idle_timeout, limits.idle_timeout);
}

void http_server::close_idle()
{
    for (const std::shared_ptr<server_connection>& connection :
         implementation_->connections)
        close_if_idle(*connection);
}

void http_server::close()
{
    boost::system::error_code ignored;
    implementation_->is_closed = true;
    implementation_->acceptor.close(ignored);
    for (const std::shared_ptr<server_connection>& connection :
         implementation_->connections)
        connection->stream.close();
}

} // namespace hibiscusferry
