#include "http/http.hpp"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <malloc.h>

using namespace hibiscusferry;
using boost::asio::yield_context;

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds timeout{2000};
/** More than the kernel buffers, so that the request is still being written
    when the server resets the connection. */
constexpr std::size_t request_body_bytes = 32U << 20;

/** Responds before it has read the request, and resets the connection. */
void respond_and_reset(boost::asio::ip::tcp::acceptor& acceptor,
                       const std::string& response, yield_context yield)
{
    boost::system::error_code error;
    boost::asio::ip::tcp::socket socket(acceptor.get_executor());
    acceptor.async_accept(socket, yield[error]);
    std::array<char, 4096> bytes{};
    socket.async_read_some(boost::asio::buffer(bytes), yield[error]);
    boost::asio::async_write(socket, boost::asio::buffer(response),
                             yield[error]);
    BOOST_REQUIRE(!error);
    constexpr milliseconds transfer_time{50};
    sleep_for(static_cast<boost::asio::io_context&>(
                  acceptor.get_executor().context()),
              transfer_time, yield);
    socket.set_option(boost::asio::socket_base::linger(true, 0), error);
    socket.close(error);
}

/** Sends a large request to a server that resets the connection after a
    response. Returns the body of the response. */
result<std::string> read_response(const std::string& response)
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor(
        context, {boost::asio::ip::address_v4::loopback(), 0});
    start_task(context, [&](yield_context yield)
               { respond_and_reset(acceptor, response, yield); });
    result<std::string> body = make_error_code(http_error::not_open);
    start_task(
        context,
        [&](yield_context yield)
        {
            const std::unique_ptr<http_connection> connection = std::move(
                http_connection::connect(
                    context, {"127.0.0.1", acceptor.local_endpoint().port()},
                    timeout, yield)
                    .value());
            http_request request;
            request.method = "POST";
            request.body.assign(request_body_bytes, 'x');
            const result<void> sent = connection->send(request, timeout, yield);
            BOOST_TEST(!sent);
            BOOST_REQUIRE(connection->read_head(timeout, yield));
            body =
                connection->read_remaining(request_body_bytes, timeout, yield);
        });
    context.run_for(3 * timeout);
    return body;
}

} // namespace

BOOST_AUTO_TEST_SUITE(http_connection_test)

// The failed write consumes the error of the socket, so that only the end of
// the connection is left to read.
BOOST_AUTO_TEST_CASE(a_reset_after_a_failed_write_does_not_complete_a_response)
{
    const result<std::string> body =
        read_response("HTTP/1.1 200 OK\r\n\r\nhalf a body");
    BOOST_REQUIRE(!body);
    BOOST_TEST((body.error() == http_error::broken));
}

BOOST_AUTO_TEST_CASE(a_response_of_known_length_survives_a_failed_write)
{
    const result<std::string> body =
        read_response("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole");
    BOOST_REQUIRE(body);
    BOOST_TEST(body.value() == "whole");
}

// Guards against kept connections that hold the body of the last request that
// was sent over them.
BOOST_AUTO_TEST_CASE(a_body_that_has_been_sent_occupies_no_memory)
{
    boost::asio::io_context context;
    const std::unique_ptr<http_server> server = std::move(
        http_server::listen(context, {"127.0.0.1", 0}, {},
                            [](http_exchange& exchange, yield_context yield) {
                                exchange.respond({200, {}, ""}, yield).value();
                            })
            .value());
    http_connection_pool pool(context);
    const auto used_bytes = []
    {
        const struct mallinfo2 usage = ::mallinfo2();
        return usage.uordblks + usage.hblkhd;
    };
    constexpr std::size_t body_bytes = 4U << 20;
    std::size_t used_before = 0;
    std::size_t used_after = 0;
    start_task(context,
               [&](yield_context yield)
               {
                   for (const bool has_body : {false, true})
                   {
                       http_request request{"POST", "/"};
                       request.body.assign(has_body ? body_bytes : 0, 'x');
                       BOOST_REQUIRE(http_call(pool, server->endpoint(),
                                               request, timeout, body_bytes,
                                               yield));
                       request = {};
                       std::string().swap(request.body);
                       (has_body ? used_after : used_before) = used_bytes();
                   }
                   BOOST_TEST(pool.idle_connections() == 1U);
                   context.stop();
               });
    context.run_for(3 * timeout);
    server->close();
    BOOST_TEST(used_after < used_before + body_bytes / 2);
}

BOOST_AUTO_TEST_SUITE_END()
