#include "http/http.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

using namespace hibiscusferry;
using boost::asio::yield_context;

namespace
{

constexpr std::size_t max_body_bytes = 64U << 10;
constexpr std::chrono::milliseconds call_timeout{300};
constexpr std::chrono::milliseconds margin{150};
/** Bytes that the kernel may buffer. */
constexpr std::size_t kernel_buffer_bytes = 512U << 10;

const std::string head = "HTTP/1.1 200 OK\r\n";
const std::string chunked_head = head + "Transfer-Encoding: chunked\r\n\r\n";

struct call_outcome
{
    result<http_response> response = make_error_code(http_error::not_open);
    std::chrono::milliseconds elapsed{0};
    std::size_t bytes_sent = 0;
    bool is_closed = false;
    std::size_t idle_connections = 0;
};

/** Calls a server that sends `start` and then repeats `pattern`. */
call_outcome call_server(const std::string& start, const std::string& pattern,
                         std::chrono::milliseconds interval,
                         unsigned repetitions = ~0U)
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor(
        context, {boost::asio::ip::address_v4::loopback(), 0});
    call_outcome outcome;
    start_task(context,
               [&](yield_context yield)
               {
                   boost::system::error_code error;
                   boost::asio::ip::tcp::socket socket(context);
                   acceptor.async_accept(socket, yield[error]);
                   socket.set_option(
                       boost::asio::socket_base::send_buffer_size(16 * 1024),
                       error);
                   std::string bytes = start;
                   while (!error)
                   {
                       outcome.bytes_sent += boost::asio::async_write(
                           socket, boost::asio::buffer(bytes), yield[error]);
                       bytes = repetitions > 0 ? pattern : "";
                       repetitions -= repetitions > 0 ? 1 : 0;
                       if (interval > std::chrono::milliseconds(0))
                           sleep_for(context, interval, yield);
                   }
                   outcome.is_closed = true;
               });
    http_connection_pool pool(context);
    const time_point call_start = boot_clock::now();
    http_call(context, pool, {"127.0.0.1", acceptor.local_endpoint().port()},
              {}, call_timeout, max_body_bytes,
              [&](const result<http_response>& response)
              {
                  outcome.response = response;
                  outcome.elapsed =
                      std::chrono::duration_cast<std::chrono::milliseconds>(
                          boot_clock::now() - call_start);
              });
    context.run_for(5 * call_timeout);
    outcome.idle_connections = pool.idle_connections();
    BOOST_TEST_MESSAGE(outcome.elapsed.count()
                       << " ms, " << outcome.bytes_sent << " bytes sent");
    return outcome;
}

void check_is_bounded(const std::string& start, const std::string& pattern)
{
    std::string block;
    while (block.size() < (16U << 10))
        block += pattern;
    for (const bool is_flood : {true, false})
    {
        const call_outcome outcome =
            is_flood
                ? call_server(start, block, std::chrono::milliseconds(0))
                : call_server(start, pattern, std::chrono::milliseconds(20));
        BOOST_TEST(!outcome.response);
        BOOST_TEST((outcome.response.error() != http_error::not_open));
        BOOST_TEST(outcome.elapsed.count() <= (call_timeout + margin).count());
        BOOST_TEST(outcome.bytes_sent <= max_body_bytes + kernel_buffer_bytes);
        BOOST_TEST(outcome.is_closed);
        BOOST_TEST(outcome.idle_connections == 0U);
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(http_call_test)

BOOST_AUTO_TEST_CASE(a_response_without_end_is_bounded_in_size_and_time)
{
    check_is_bounded("", "x");
    check_is_bounded("", "\r\n");
    check_is_bounded("", "HTTP/1.1 100 Continue\r\n\r\n");
    check_is_bounded(head + "A: ", "x");
    check_is_bounded(head, "A: b\r\n");
    check_is_bounded(head + "\r\n", "x");
    check_is_bounded(head + "Content-Length: 99999999999\r\n\r\n", "x");
    check_is_bounded(chunked_head,
                     "1000\r\n" + std::string(4096, 'x') + "\r\n");
    check_is_bounded(chunked_head, "0");
    check_is_bounded(chunked_head + "1;", "x");
    check_is_bounded(chunked_head + "0\r\n", "A: b\r\n");
}

// Guards against a head of 32 KB whose fields occupy many times that.
BOOST_AUTO_TEST_CASE(a_response_with_too_many_fields_is_rejected)
{
    for (const std::size_t field_count : {200U, 8000U})
    {
        std::string fields;
        for (std::size_t count = 0; count < field_count; ++count)
            fields += "A:\r\n";
        const call_outcome outcome = call_server(
            head + fields + "Content-Length: 0\r\n\r\n", "", call_timeout);
        BOOST_TEST(outcome.response.has_value() == (field_count == 200));
        BOOST_TEST(outcome.idle_connections == (field_count == 200 ? 1U : 0U));
        if (!outcome.response)
            BOOST_TEST((outcome.response.error() == http_error::too_large));
    }
}

// Guards against a chunk whose size restarts the timeout of the read.
BOOST_AUTO_TEST_CASE(a_read_has_one_timeout)
{
    const call_outcome outcome =
        call_server(chunked_head, "1000\r\n", call_timeout * 2 / 3, 1);
    BOOST_TEST((outcome.response.error() == http_error::timed_out));
    BOOST_TEST(outcome.elapsed.count() <= (call_timeout + margin).count());
}

// A late second response to the call before must not be taken for this one.
BOOST_AUTO_TEST_CASE(a_call_on_a_new_connection_gets_no_late_response)
{
    boost::asio::io_context context;
    int requests = 0;
    const std::unique_ptr<http_server> server = std::move(
        http_server::listen(
            context, {"127.0.0.1", 0}, {},
            [&requests](http_exchange& exchange, yield_context yield) {
                exchange.respond({200, {}, std::to_string(++requests)}, yield)
                    .value();
            })
            .value());
    http_connection_pool pool(context);
    std::size_t connections = 0;
    start_task(
        context,
        [&](yield_context yield)
        {
            const http_request request;
            BOOST_TEST(http_call(pool, server->endpoint(), request,
                                 call_timeout, max_body_bytes, yield)
                           .value()
                           .body == "1");
            std::unique_ptr<http_connection> connection = std::move(
                pool.open(server->endpoint(), call_timeout, yield).value());
            BOOST_TEST(http_call(pool, std::move(connection), request,
                                 call_timeout, max_body_bytes, yield)
                           .value()
                           .body == "2");
            connections = server->open_connections();
            context.stop();
        });
    context.run_for(std::chrono::seconds(2));
    BOOST_TEST(connections == 2U);
    BOOST_TEST(pool.idle_connections() == 2U);
}

// Guards against an order that a former holder has given up and that TCP
// delivers later: only a reset discards what the kernel has not delivered.
BOOST_AUTO_TEST_CASE(a_call_that_must_not_arrive_late_ends_with_a_reset)
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor(
        context, {boost::asio::ip::address_v4::loopback(), 0});
    boost::system::error_code end_of_connection;
    start_task(context,
               [&](yield_context yield)
               {
                   boost::system::error_code error;
                   boost::asio::ip::tcp::socket socket(context);
                   acceptor.async_accept(socket, yield[error]);
                   std::string bytes(4096, '\0');
                   while (!error)
                       socket.async_read_some(boost::asio::buffer(bytes),
                                              yield[error]);
                   end_of_connection = error;
               });
    http_connection_pool pool(context);
    result<http_response> received = make_error_code(http_error::not_open);
    http_call_without_late_arrival(
        context, pool, {"127.0.0.1", acceptor.local_endpoint().port()}, {},
        call_timeout, max_body_bytes,
        [&](const result<http_response>& response) { received = response; });
    context.run_for(2 * call_timeout);
    BOOST_REQUIRE(!received);
    BOOST_TEST((received.error() == http_error::timed_out));
    BOOST_TEST((end_of_connection == boost::asio::error::connection_reset));
    BOOST_TEST(pool.idle_connections() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
