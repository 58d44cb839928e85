#include "http/http.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <stdexcept>

using namespace hibiscusferry;
using boost::asio::yield_context;

namespace
{

constexpr std::chrono::seconds call_timeout{5};

/** Starts a server and runs a client coroutine against it. */
void run_with_handler(
    boost::asio::io_context& context, const http_server_limits& limits,
    const http_server::handler& handler,
    const std::function<void(http_server&, yield_context)>& client)
{
    const std::unique_ptr<http_server> server = std::move(
        http_server::listen(context, {"127.0.0.1", 0}, limits, handler)
            .value());
    bool is_finished = false;
    start_task(context,
               [&](yield_context yield)
               {
                   client(*server, yield);
                   is_finished = true;
                   server->close();
               });
    context.run_for(std::chrono::seconds(20));
    BOOST_TEST(is_finished);
}

/** Starts a server that echoes request bodies and runs a client coroutine
    against it. */
void run_with_server(
    const http_server_limits& limits,
    const std::function<void(boost::asio::io_context&, const http_endpoint&,
                             yield_context)>& client)
{
    boost::asio::io_context context;
    const http_server::handler echo =
        [](http_exchange& exchange, yield_context yield)
    {
        if (exchange.request().path() == "/cut")
        {
            exchange.begin_stream({}, yield).value();
            exchange.write_chunk("half", yield).value();
            return;
        }
        if (exchange.request().path() == "/stream")
        {
            exchange.begin_stream({}, yield).value();
            exchange.write_chunk("one ", yield).value();
            exchange.write_chunk("two", yield).value();
            exchange.end_stream(yield).value();
            return;
        }
        exchange.respond({200, {}, exchange.request().body}, yield).value();
    };
    run_with_handler(context, limits, echo,
                     [&](const http_server& server, yield_context yield)
                     { client(context, server.endpoint(), yield); });
}

void respond_with_body(http_exchange& exchange, yield_context yield)
{
    const result<void> ignored =
        exchange.respond({200, {}, exchange.request().body}, yield);
    static_cast<void>(ignored);
}

/** A client that sends and receives raw bytes on one connection. */
class raw_client
{
public:
    raw_client(boost::asio::io_context& context, const http_server& server,
               yield_context yield)
        : socket_(context)
        , yield_(yield)
    {
        const http_endpoint endpoint = server.endpoint();
        socket_.async_connect(
            {boost::asio::ip::make_address(endpoint.address), endpoint.port},
            yield_);
    }

    /** Sends bytes without letting the server run. */
    void send(const std::string& bytes)
    {
        boost::system::error_code error;
        boost::asio::write(socket_, boost::asio::buffer(bytes), error);
    }

    /** Sends bytes while the server runs. */
    void upload(const std::string& bytes)
    {
        boost::system::error_code error;
        boost::asio::async_write(socket_, boost::asio::buffer(bytes),
                                 yield_[error]);
    }

    /** Returns the next bytes received; empty if the server has closed the
        connection. */
    std::string receive()
    {
        std::string text(4096, '\0');
        boost::system::error_code error;
        text.resize(socket_.async_read_some(
            boost::asio::buffer(text.data(), text.size()), yield_[error]));
        return text;
    }

private:
    boost::asio::ip::tcp::socket socket_;
    yield_context yield_;
};

bool has_status(const std::string& response, const std::string& status)
{
    return response.find("HTTP/1.1 " + status + " ") == 0;
}

const std::string post_request =
    "POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\nbody";

/** Sends raw bytes and returns everything received until the server closes
    the connection. */
std::string raw_exchange(boost::asio::io_context& context,
                         const http_endpoint& endpoint,
                         const std::string& bytes, yield_context yield)
{
    boost::asio::ip::tcp::socket socket(context);
    boost::system::error_code error;
    socket.async_connect(
        {boost::asio::ip::make_address(endpoint.address), endpoint.port},
        yield[error]);
    boost::asio::async_write(socket, boost::asio::buffer(bytes), yield[error]);
    std::string response;
    boost::asio::async_read(socket, boost::asio::dynamic_buffer(response),
                            yield[error]);
    return response;
}

} // namespace

BOOST_AUTO_TEST_SUITE(http_server_test)

// A connection must be reused after a complete exchange. Otherwise every
// request has to open a new TCP connection.
BOOST_AUTO_TEST_CASE(connection_is_reused_after_complete_exchange)
{
    run_with_server({},
                    [](boost::asio::io_context& context,
                       const http_endpoint& endpoint, yield_context yield)
                    {
                        http_connection_pool pool(context);
                        for (const char* text : {"first", "second"})
                        {
                            const http_request request{"POST", "/", {}, text};
                            const result<http_response> response =
                                http_call(pool, endpoint, request, call_timeout,
                                          1000, yield);
                            BOOST_TEST(response.value().body == text);
                            BOOST_TEST(pool.idle_connections() == 1U);
                        }
                    });
}

// A response that ends without its final chunk must not be mistaken for a
// complete one, and its connection must not be reused.
BOOST_AUTO_TEST_CASE(truncated_stream_is_reported_as_error)
{
    run_with_server({},
                    [](boost::asio::io_context& context,
                       const http_endpoint& endpoint, yield_context yield)
                    {
                        http_connection_pool pool(context);
                        const result<http_response> whole =
                            http_call(pool, endpoint, {"GET", "/stream"},
                                      call_timeout, 1000, yield);
                        BOOST_TEST(whole.value().body == "one two");
                        pool.forget(endpoint);
                        const result<http_response> cut =
                            http_call(pool, endpoint, {"GET", "/cut"},
                                      call_timeout, 1000, yield);
                        BOOST_TEST(cut.error() == http_error::broken);
                        BOOST_TEST(pool.idle_connections() == 0U);
                    });
}

// The bytes of a body would be taken for the next response.
BOOST_AUTO_TEST_CASE(response_to_head_request_has_no_body)
{
    run_with_server(
        {},
        [](boost::asio::io_context& context, const http_endpoint& endpoint,
           yield_context yield)
        {
            const std::unique_ptr<http_connection> connection = std::move(
                http_connection::connect(context, endpoint, call_timeout, yield)
                    .value());
            for (const char* path : {"/stream", "/echo", "/stream"})
            {
                http_request head_request{"HEAD", path};
                head_request.body = "body";
                connection->send(head_request, call_timeout, yield).value();
                const result<http_response_head> head =
                    connection->read_head(call_timeout, yield);
                BOOST_REQUIRE(head);
                BOOST_TEST(head.value().status == 200U);
                BOOST_TEST(
                    connection->read_some(call_timeout, yield).value().empty());
                BOOST_TEST(connection->is_reusable());
                sleep_for(context, std::chrono::milliseconds(20), yield);
                BOOST_TEST(connection->is_open_and_idle());
            }
        });
}

// connect_failed tells callers that nothing was sent, so that they may retry
// a request that is not idempotent.
BOOST_AUTO_TEST_CASE(missing_listener_is_reported_as_connect_failed)
{
    boost::asio::io_context context;
    start_task(context,
               [&context](yield_context yield)
               {
                   http_connection_pool pool(context);
                   const result<http_response> response = http_call(
                       pool, {"127.0.0.1", 1}, {}, call_timeout, 1000, yield);
                   BOOST_TEST(response.error() == http_error::connect_failed);
               });
    context.run();
}

// Clients that send invalid, oversized or incomplete requests must receive an
// error status or be disconnected, and must not hold a connection open.
BOOST_AUTO_TEST_CASE(malformed_and_oversized_requests_are_rejected)
{
    http_server_limits limits;
    limits.body_bytes = 100;
    limits.request_timeout = std::chrono::milliseconds(200);
    run_with_server(
        limits,
        [](boost::asio::io_context& context, const http_endpoint& endpoint,
           yield_context yield)
        {
            const std::string large_header =
                "GET / HTTP/1.1\r\nX: " + std::string(20000, 'x') + "\r\n\r\n";
            const std::string large_body =
                "POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n";
            BOOST_TEST(raw_exchange(context, endpoint, "garbage\r\n\r\n", yield)
                           .find(" 400 ") != std::string::npos);
            BOOST_TEST(raw_exchange(context, endpoint, large_header, yield)
                           .find(" 413 ") != std::string::npos);
            BOOST_TEST(raw_exchange(context, endpoint, large_body, yield)
                           .find(" 413 ") != std::string::npos);
            // A request that stalls after its first bytes is rejected once the
            // request timeout expires, and its connection is closed.
            BOOST_TEST(raw_exchange(context, endpoint, "GET / HT", yield)
                           .find(" 408 ") != std::string::npos);
        });
}

BOOST_AUTO_TEST_CASE(request_received_before_idle_close_is_answered)
{
    boost::asio::io_context context;
    run_with_handler(context, {}, respond_with_body,
                     [&context](http_server& server, yield_context yield)
                     {
                         raw_client client(context, server, yield);
                         client.send(post_request);
                         BOOST_TEST(has_status(client.receive(), "200"));
                         client.send(post_request);
                         server.close_idle();
                         BOOST_TEST(has_status(client.receive(), "200"));
                         server.close_idle();
                         BOOST_TEST(client.receive().empty());
                     });
}

BOOST_AUTO_TEST_CASE(shorter_idle_timeout_spares_connections_already_idle)
{
    http_server_limits limits;
    limits.idle_timeout = std::chrono::seconds(4);
    boost::asio::io_context context;
    run_with_handler(
        context, limits, respond_with_body,
        [&context](http_server& server, yield_context yield)
        {
            raw_client client(context, server, yield);
            client.send(post_request);
            BOOST_TEST(has_status(client.receive(), "200"));
            http_server_limits shorter;
            shorter.idle_timeout = std::chrono::milliseconds(200);
            server.set_limits(shorter);
            sleep_for(context, std::chrono::milliseconds(1200), yield);
            client.send(post_request);
            BOOST_TEST(has_status(client.receive(), "200"));
            // The connection has become idle again under the shorter timeout.
            sleep_for(context, std::chrono::milliseconds(1200), yield);
            BOOST_TEST(server.open_connections() == 0U);
            BOOST_TEST(client.receive().empty());
        });
}

BOOST_AUTO_TEST_CASE(longer_idle_timeout_applies_to_connections_already_idle)
{
    http_server_limits limits;
    limits.idle_timeout = std::chrono::milliseconds(200);
    boost::asio::io_context context;
    run_with_handler(context, limits, respond_with_body,
                     [&context](http_server& server, yield_context yield)
                     {
                         raw_client client(context, server, yield);
                         client.send(post_request);
                         BOOST_TEST(has_status(client.receive(), "200"));
                         server.set_limits({});
                         sleep_for(context, std::chrono::milliseconds(1200),
                                   yield);
                         client.send(post_request);
                         BOOST_TEST(has_status(client.receive(), "200"));
                     });
}

BOOST_AUTO_TEST_CASE(request_whose_body_arrives_too_slowly_is_answered)
{
    http_server_limits limits;
    limits.request_timeout = std::chrono::milliseconds(200);
    boost::asio::io_context context;
    run_with_handler(context, limits, respond_with_body,
                     [&context](http_server& server, yield_context yield)
                     {
                         constexpr std::size_t first_part = 40;
                         raw_client client(context, server, yield);
                         client.send(post_request.substr(0, first_part));
                         sleep_for(context, std::chrono::milliseconds(400),
                                   yield);
                         client.send(post_request.substr(first_part));
                         BOOST_TEST(has_status(client.receive(), "408"));
                         BOOST_TEST(client.receive().empty());
                         BOOST_TEST(server.active_exchanges() == 0U);
                     });
}

BOOST_AUTO_TEST_CASE(request_timeout_does_not_limit_the_handler)
{
    http_server_limits limits;
    limits.request_timeout = std::chrono::milliseconds(100);
    boost::asio::io_context context;
    const http_server::handler respond_late =
        [&context](http_exchange& exchange, yield_context yield)
    {
        sleep_for(context, std::chrono::milliseconds(300), yield);
        respond_with_body(exchange, yield);
    };
    run_with_handler(context, limits, respond_late,
                     [&context](http_server& server, yield_context yield)
                     {
                         raw_client client(context, server, yield);
                         client.send(post_request);
                         BOOST_TEST(has_status(client.receive(), "200"));
                     });
}

BOOST_AUTO_TEST_CASE(request_whose_handler_throws_is_answered)
{
    boost::asio::io_context context;
    const http_server::handler fail =
        [](http_exchange& exchange, yield_context yield)
    {
        if (exchange.request().path() == "/cut")
            exchange.begin_stream({}, yield).value();
        throw std::runtime_error("error in a test");
    };
    run_with_handler(context, {}, fail,
                     [&context](http_server& server, yield_context yield)
                     {
                         raw_client client(context, server, yield);
                         client.send(post_request);
                         BOOST_TEST(has_status(client.receive(), "500"));
                         raw_client stream_client(context, server, yield);
                         stream_client.send("GET /cut HTTP/1.1\r\n\r\n");
                         BOOST_TEST(has_status(stream_client.receive(), "200"));
                         BOOST_TEST(stream_client.receive().empty());
                     });
}

// Guards against a process that exceeds its memory: an empty string was
// assigned to the body, which kept its memory until the response was sent.
BOOST_AUTO_TEST_CASE(a_discarded_body_occupies_no_memory)
{
    boost::asio::io_context context;
    std::size_t capacity = 0;
    const http_server::handler discard =
        [&capacity](http_exchange& exchange, yield_context yield)
    {
        exchange.discard_request_body();
        capacity = exchange.request().body.capacity();
        exchange.respond({200, {}, ""}, yield).value();
    };
    run_with_handler(context, {}, discard,
                     [&context](http_server& server, yield_context yield)
                     {
                         const std::string body(1U << 20, 'x');
                         raw_client client(context, server, yield);
                         client.upload("POST / HTTP/1.1\r\nContent-Length: " +
                                       std::to_string(body.size()) +
                                       "\r\n\r\n" + body);
                         BOOST_TEST(has_status(client.receive(), "200"));
                     });
    BOOST_TEST(capacity == std::string().capacity());
}

BOOST_AUTO_TEST_CASE(failed_exchanges_are_reported_with_their_cause)
{
    http_server_limits limits;
    limits.connections = 1;
    limits.request_timeout = std::chrono::milliseconds(200);
    limits.write_timeout = std::chrono::milliseconds(200);
    boost::asio::io_context context;
    const http_server::handler handler =
        [&context](http_exchange& exchange, yield_context yield)
    {
        const std::string_view path = exchange.request().path();
        if (path == "/throw")
            throw std::runtime_error("error in a test");
        if (path == "/wait")
            sleep_for(context, std::chrono::milliseconds(200), yield);
        if (path == "/large")
        {
            const result<void> ignored =
                exchange.respond({200, {}, std::string(16U << 20, 'x')}, yield);
            static_cast<void>(ignored);
        }
        if (path == "/")
            respond_with_body(exchange, yield);
    };
    struct failing_exchange
    {
        std::string bytes;
        bool is_closed_by_client;
        std::string cause;
    };
    const std::vector<failing_exchange> exchanges{
        {"GET / HT", true, "request_broken"},
        {"GET / HT", false, "request_timeout"},
        {"garbage\r\n\r\n", false, "request_invalid"},
        {"GET /wait HTTP/1.1\r\n\r\n", true, "client_disconnected"},
        {"GET /wait HTTP/1.1\r\n\r\n", false, "response_incomplete"},
        {"GET /throw HTTP/1.1\r\n\r\n", false, "handler_exception"},
        {"GET /large HTTP/1.1\r\n\r\n", true, "write_failed"},
        {"GET /large HTTP/1.1\r\n\r\n", false, "write_timeout"}};
    run_with_handler(
        context, limits, handler,
        [&](http_server& server, yield_context yield)
        {
            std::vector<std::string> causes;
            server.on_exchange_failure(
                [&causes](const exchange_failure& failure)
                { causes.emplace_back(to_text(failure.cause)); });
            const std::chrono::milliseconds delay(100);
            for (const failing_exchange& exchange : exchanges)
            {
                causes.clear();
                std::optional<raw_client> client(std::in_place, context, server,
                                                 yield);
                client->send(exchange.bytes);
                sleep_for(context, delay, yield);
                if (exchange.is_closed_by_client)
                    client.reset();
                sleep_for(context, 4 * delay, yield);
                BOOST_TEST(causes == std::vector<std::string>{exchange.cause},
                           boost::test_tools::per_element());
                client.reset();
                sleep_for(context, delay, yield);
            }
            causes.clear();
            raw_client first(context, server, yield);
            first.send(post_request);
            BOOST_TEST(has_status(first.receive(), "200"));
            raw_client second(context, server, yield);
            BOOST_TEST(second.receive().empty());
            BOOST_TEST(causes == std::vector<std::string>{"connection_limit"},
                       boost::test_tools::per_element());
            first.send("GET /wait HTTP/1.1\r\n\r\n");
            sleep_for(context, delay, yield);
            causes.clear();
            server.close();
            sleep_for(context, 2 * delay, yield);
            BOOST_TEST(causes == std::vector<std::string>{"server_closed"},
                       boost::test_tools::per_element());
        });
}

BOOST_AUTO_TEST_CASE(successful_exchanges_are_not_reported_as_failed)
{
    boost::asio::io_context context;
    run_with_handler(
        context, {}, respond_with_body,
        [&context](http_server& server, yield_context yield)
        {
            int failures = 0;
            server.on_exchange_failure([&failures](const exchange_failure&)
                                       { ++failures; });
            {
                raw_client client(context, server, yield);
                client.send(post_request);
                BOOST_TEST(has_status(client.receive(), "200"));
            }
            raw_client idle_client(context, server, yield);
            sleep_for(context, std::chrono::milliseconds(50), yield);
            server.close_idle();
            BOOST_TEST(idle_client.receive().empty());
            BOOST_TEST(failures == 0);
        });
}

// A disconnect may come while the error response is written. By then the state
// of the handler has been destroyed.
BOOST_AUTO_TEST_CASE(
    disconnect_handler_is_dropped_when_the_request_handler_ends)
{
    boost::asio::io_context context;
    std::weak_ptr<int> state_of_watch;
    const http_server::handler handler =
        [&state_of_watch](http_exchange& exchange, yield_context)
    {
        const std::shared_ptr<int> state = std::make_shared<int>(0);
        state_of_watch = state;
        exchange.on_client_disconnect([state] { ++*state; });
        if (exchange.request().path() == "/throw")
            throw std::runtime_error("expected");
    };
    run_with_handler(
        context, {}, handler,
        [&](http_server& server, yield_context yield)
        {
            std::vector<std::string> causes;
            server.on_exchange_failure(
                [&](const exchange_failure& failure)
                {
                    causes.emplace_back(to_text(failure.cause));
                    BOOST_TEST(state_of_watch.expired());
                });
            for (const char* path : {"/throw", "/return"})
            {
                raw_client client(context, server, yield);
                client.send("GET " + std::string(path) + " HTTP/1.1\r\n\r\n");
                const std::string response = client.receive();
                BOOST_TEST(response.empty() == !has_status(response, "500"));
            }
            const std::vector<std::string> expected{"handler_exception",
                                                    "response_incomplete"};
            BOOST_TEST(causes == expected, boost::test_tools::per_element());
        });
}

BOOST_AUTO_TEST_CASE(query_values_are_decoded)
{
    const std::string text = "a b/c?&=%ü";
    const http_request request{"GET", "/rows?x=1&key=" + url_encode(text)};
    BOOST_TEST(request.path() == "/rows");
    BOOST_TEST(request.query("key") == text);
    BOOST_TEST(request.query("absent").empty());
    BOOST_TEST(url_decode("%zz%4") == "%zz%4");
}

// While the event loop is busy, connections must not wait in the backlog until
// their callers have given up.
BOOST_AUTO_TEST_CASE(backlog_is_accepted_within_a_few_passes_of_the_event_loop)
{
    constexpr std::size_t connections = 100;
    constexpr int max_passes = 10;
    boost::asio::io_context context;
    const std::unique_ptr<http_server> server = std::move(
        http_server::listen(context, {"127.0.0.1", 0}, {}, respond_with_body)
            .value());
    const http_endpoint endpoint = server->endpoint();
    std::vector<boost::asio::ip::tcp::socket> clients;
    for (std::size_t index = 0; index < connections; ++index)
    {
        clients.emplace_back(context);
        clients.back().connect(
            {boost::asio::ip::make_address(endpoint.address), endpoint.port});
    }
    int passes = 0;
    std::function<void()> next_pass = [&]
    {
        if (server->open_connections() >= connections || ++passes > max_passes)
            context.stop();
        boost::asio::post(context, next_pass);
    };
    boost::asio::post(context, next_pass);
    context.run_for(std::chrono::seconds(20));
    BOOST_TEST(server->open_connections() == connections);
    BOOST_TEST(passes <= max_passes);
    server->close();
}

namespace
{

std::string head_of_upload(std::size_t body_bytes)
{
    return "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(body_bytes) +
           "\r\n\r\n";
}

void respond_empty(http_exchange& exchange, yield_context yield)
{
    const result<void> ignored = exchange.respond({}, yield);
    static_cast<void>(ignored);
}

/** Longer than a client is given before it counts as stopped. */
constexpr std::chrono::milliseconds stopped_time =
    shedding_policy::grace + std::chrono::milliseconds(200);

} // namespace

// A chunk extension and trailers are not part of the body, so the limit on the
// body does not apply to them.
BOOST_AUTO_TEST_CASE(chunk_extension_and_trailers_without_end_are_refused)
{
    const std::string head = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked"
                             "\r\n\r\n";
    std::string trailers = "0\r\n";
    for (int count = 0; count < 100000; ++count)
        trailers += "t:\r\n";
    for (const std::string& text : {"1;" + std::string(400000, 'e'), trailers})
    {
        boost::asio::io_context context;
        run_with_handler(context, {}, respond_empty,
                         [&](http_server& server, yield_context yield)
                         {
                             raw_client client(context, server, yield);
                             client.upload(head + text);
                             BOOST_TEST(has_status(client.receive(), "413"));
                         });
    }
}

BOOST_AUTO_TEST_CASE(header_fields_are_limited)
{
    boost::asio::io_context context;
    http_server_limits limits;
    limits.header_fields = 10;
    run_with_handler(
        context, limits, respond_empty,
        [&context](http_server& server, yield_context yield)
        {
            for (const int count : {10, 11})
            {
                std::string fields;
                for (int index = 0; index < count; ++index)
                    fields += "a:\r\n";
                raw_client client(context, server, yield);
                client.send("GET / HTTP/1.1\r\n" + fields + "\r\n");
                BOOST_TEST(
                    has_status(client.receive(), count == 10 ? "200" : "431"));
            }
        });
}

// Guards against requests that together exceed the memory, and against large
// ones that keep small ones from being served.
BOOST_AUTO_TEST_CASE(request_without_memory_is_refused_and_small_one_is_served)
{
    constexpr std::size_t body_bytes = 1400000;
    boost::asio::io_context context;
    http_server_limits limits;
    limits.memory = std::make_shared<memory_budget>(2U << 20);
    run_with_handler(
        context, limits, respond_empty,
        [&](http_server& server, yield_context yield)
        {
            std::vector<std::string> causes;
            server.on_exchange_failure(
                [&](const exchange_failure& failure)
                { causes.emplace_back(to_text(failure.cause)); });
            raw_client large(context, server, yield);
            large.upload(head_of_upload(body_bytes) +
                         std::string(body_bytes, 'b'));
            const std::string refusal = large.receive();
            BOOST_TEST(has_status(refusal, "503"));
            BOOST_TEST(refusal.find("Retry-After: 1") != std::string::npos);
            BOOST_TEST(causes == std::vector<std::string>{"memory_short"},
                       boost::test_tools::per_element());
            raw_client small(context, server, yield);
            small.send(post_request);
            BOOST_TEST(has_status(small.receive(), "200"));
        });
    BOOST_TEST(limits.memory->used() <= memory_budget::small_bytes);
}

// Guards against bodies that stop one byte short and keep their memory while
// others are refused.
BOOST_AUTO_TEST_CASE(stopped_upload_is_dropped_for_the_memory_of_another)
{
    constexpr std::size_t stopped_bytes = 1000000;
    constexpr std::size_t body_bytes = 300000;
    boost::asio::io_context context;
    http_server_limits limits;
    limits.memory = std::make_shared<memory_budget>(2U << 20);
    run_with_handler(
        context, limits, respond_empty,
        [&](http_server& server, yield_context yield)
        {
            std::vector<std::string> causes;
            server.on_exchange_failure(
                [&](const exchange_failure& failure)
                { causes.emplace_back(to_text(failure.cause)); });
            raw_client stopped(context, server, yield);
            stopped.upload(head_of_upload(stopped_bytes) +
                           std::string(stopped_bytes - 1, 'b'));
            sleep_for(context, stopped_time, yield);
            raw_client other(context, server, yield);
            other.upload(head_of_upload(body_bytes) +
                         std::string(body_bytes, 'b'));
            BOOST_TEST(has_status(other.receive(), "200"));
            BOOST_TEST(has_status(stopped.receive(), "408"));
            BOOST_TEST(causes ==
                           std::vector<std::string>{"slow_client_dropped"},
                       boost::test_tools::per_element());
        });
}

// Guards against clients that take all connections and send nothing.
BOOST_AUTO_TEST_CASE(stopped_client_is_dropped_for_a_new_connection)
{
    boost::asio::io_context context;
    http_server_limits limits;
    limits.connections = 1;
    run_with_handler(context, limits, respond_empty,
                     [&context](http_server& server, yield_context yield)
                     {
                         raw_client stopped(context, server, yield);
                         stopped.send("POST / HTTP/1.1\r\n");
                         sleep_for(context, stopped_time, yield);
                         raw_client other(context, server, yield);
                         other.send(post_request);
                         BOOST_TEST(has_status(other.receive(), "200"));
                         BOOST_TEST(stopped.receive().empty());
                     });
}

BOOST_AUTO_TEST_SUITE_END()
