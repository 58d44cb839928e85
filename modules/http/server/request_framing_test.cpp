#include "http/http.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

// A request whose length is not certain must be refused. Otherwise bytes of its
// body are run as the next request.

using namespace hibiscusferry;
using boost::asio::yield_context;

namespace
{

const std::string inner_request =
    "POST /inner HTTP/1.1\r\nContent-Length: 0\r\n\r\n";

std::string length_of(const std::string& body)
{
    return "Content-Length: " + std::to_string(body.size()) + "\r\n";
}

std::string in_chunks(const std::string& body)
{
    char size[24];
    std::snprintf(size, sizeof size, "%zx", body.size());
    return std::string(size) + "\r\n" + body + "\r\n0\r\n\r\n";
}

/** What the server received and sent. */
struct outcome_of_request
{
    std::vector<http_request> handled;
    std::vector<exchange_failure_cause> failures;
    /** All bytes sent by the server until it closed the connection. */
    std::string response;
};

/** Sends bytes over a connection of its own, and waits until the server closes
    it. */
outcome_of_request send_to_server(const std::string& bytes)
{
    boost::asio::io_context context;
    outcome_of_request outcome;
    http_server_limits limits;
    limits.request_timeout = std::chrono::milliseconds(300);
    limits.idle_timeout = std::chrono::milliseconds(300);
    const std::unique_ptr<http_server> server =
        std::move(http_server::listen(
                      context, {"127.0.0.1", 0}, limits,
                      [&outcome](http_exchange& exchange, yield_context yield)
                      {
                          outcome.handled.push_back(exchange.request());
                          exchange.close_after_response();
                          exchange.respond({200, {}, "done"}, yield).value();
                      })
                      .value());
    server->on_exchange_failure([&outcome](const exchange_failure& failure)
                                { outcome.failures.push_back(failure.cause); });
    start_task(context,
               [&](yield_context yield)
               {
                   boost::asio::ip::tcp::socket socket(context);
                   boost::system::error_code error;
                   socket.async_connect(
                       {boost::asio::ip::address_v4::loopback(),
                        server->endpoint().port},
                       yield[error]);
                   boost::asio::async_write(socket, boost::asio::buffer(bytes),
                                            yield[error]);
                   boost::asio::async_read(
                       socket, boost::asio::dynamic_buffer(outcome.response),
                       yield[error]);
                   server->close();
               });
    context.run_for(std::chrono::seconds(5));
    return outcome;
}

struct framing_case
{
    const char* version;
    std::string fields;
    std::string body;
};

std::string request_text(const framing_case& framing)
{
    return std::string("POST /outer HTTP/") + framing.version + "\r\n" +
           framing.fields + "\r\n" + framing.body;
}

std::size_t responses_in(const std::string& text)
{
    std::size_t count = 0;
    for (std::size_t position = text.find("HTTP/1.1 ");
         position != std::string::npos;
         position = text.find("HTTP/1.1 ", position + 1))
        ++count;
    return count;
}

void check_refused(const framing_case& framing, const std::string& status,
                   exchange_failure_cause cause)
{
    BOOST_TEST_CONTEXT("HTTP/" << framing.version << " " << framing.fields)
    {
        const outcome_of_request outcome =
            send_to_server(request_text(framing));
        BOOST_TEST(outcome.handled.empty());
        BOOST_TEST(responses_in(outcome.response) == 1U);
        BOOST_TEST(outcome.response.find("HTTP/1.1 " + status + " ") == 0U);
        BOOST_TEST(outcome.response.find("Connection: close\r\n") !=
                   std::string::npos);
        BOOST_REQUIRE(outcome.failures.size() == 1U);
        BOOST_TEST((outcome.failures[0] == cause));
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(request_framing_test)

BOOST_AUTO_TEST_CASE(request_of_known_length_is_handled_whole)
{
    const framing_case framings[] = {
        {"1.1", length_of(inner_request), inner_request},
        {"1.0", length_of(inner_request), inner_request},
        {"1.1", "Transfer-Encoding: chunked\r\n", in_chunks(inner_request)},
        {"1.1", "transfer-encoding:\t CHUNKED \r\n", in_chunks(inner_request)}};
    for (const framing_case& framing : framings)
    {
        BOOST_TEST_CONTEXT("HTTP/" << framing.version << " " << framing.fields)
        {
            const outcome_of_request outcome =
                send_to_server(request_text(framing));
            BOOST_REQUIRE(outcome.handled.size() == 1U);
            BOOST_TEST(outcome.handled[0].target == "/outer");
            BOOST_TEST(outcome.handled[0].body == inner_request);
            BOOST_TEST(outcome.failures.empty());
        }
    }
}

// Guards against a body that counts as absent, so that it is run as a request
// of its own, or that is forwarded in another coding than the one it states.
BOOST_AUTO_TEST_CASE(request_of_uncertain_length_is_refused)
{
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    const std::string gzip = "Transfer-Encoding: gzip\r\n";
    const std::string length = length_of(inner_request);
    const framing_case framings[] = {
        // The last coding is not "chunked".
        {"1.1", gzip, inner_request},
        {"1.1", "Transfer-Encoding: identity\r\n", inner_request},
        {"1.1", "Transfer-Encoding: xchunked\r\n", inner_request},
        {"1.1", "Transfer-Encoding: chunked, gzip\r\n", inner_request},
        {"1.1", gzip + "Transfer-Encoding: identity\r\n", inner_request},
        {"1.1", "Transfer-Encoding: chunked, gzip\r\n",
         in_chunks(inner_request)},
        // It is not exactly "chunked", or occurs twice.
        {"1.1", "Transfer-Encoding: chunked;q=1\r\n", in_chunks(inner_request)},
        {"1.1", "Transfer-Encoding: \"chunked\"\r\n", in_chunks(inner_request)},
        {"1.1", "Transfer-Encoding: chunked, chunked\r\n",
         in_chunks(inner_request)},
        {"1.1", chunked + chunked, in_chunks(inner_request)},
        {"1.1", chunked + gzip, in_chunks(inner_request)},
        // The list of codings is malformed.
        {"1.1", "Transfer-Encoding:\r\n", inner_request},
        {"1.1", "Transfer-Encoding: ,\r\n", inner_request},
        {"1.1", "Transfer-Encoding: chunked,\r\n", in_chunks(inner_request)},
        {"1.1", "Transfer-Encoding: ,chunked\r\n", in_chunks(inner_request)},
        {"1.1", "Transfer-Encoding: gzip chunked\r\n",
         in_chunks(inner_request)},
        {"1.1", "Transfer-Encoding: x\r\n chunked\r\n",
         in_chunks(inner_request)},
        // Both fields, in either order.
        {"1.1", gzip + length, inner_request},
        {"1.1", length + gzip, inner_request},
        {"1.1", gzip + "Content-Length: 10\r\n", inner_request},
        {"1.1", chunked + length, in_chunks(inner_request)},
        {"1.1", length + chunked, in_chunks(inner_request)},
        {"1.1", "Content-Length: 0\r\n" + chunked, in_chunks(inner_request)},
        {"1.1", "Transfer-Encoding:\r\n" + length, inner_request},
        // More than one length, or none that is a number.
        {"1.1", "Content-Length: 0\r\n" + length, inner_request},
        {"1.1", length + length, inner_request},
        {"1.1", "Content-Length: 5, 5\r\n", inner_request},
        {"1.1", "Content-Length:\r\n", inner_request},
        {"1.1", "Content-Length: +5\r\n", inner_request},
        {"1.1", "Content-Length: -1\r\n", inner_request},
        {"1.1", "Content-Length: 0x5\r\n", inner_request},
        {"1.1", "Content-Length: 5 0\r\n", inner_request},
        {"1.1", "Content-Length: 5\r\n 0\r\n", inner_request},
        {"1.1", "Content-Length: 18446744073709551616\r\n", inner_request},
        // A coding in a version that has none.
        {"1.0", chunked, in_chunks(inner_request)},
        {"1.0", gzip, inner_request}};
    for (const framing_case& framing : framings)
        check_refused(framing, "400",
                      exchange_failure_cause::request_length_unknown);
}

// The length is known, but the body could only be forwarded without its coding.
BOOST_AUTO_TEST_CASE(request_in_an_unknown_coding_is_refused)
{
    const framing_case framings[] = {
        {"1.1", "Transfer-Encoding: gzip, chunked\r\n",
         in_chunks(inner_request)},
        {"1.1", "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
         in_chunks(inner_request)},
        {"1.1", "Transfer-Encoding: gzip;q=\"a,b\", chunked\r\n",
         in_chunks(inner_request)},
        {"1.1", "Transfer-Encoding: identity, chunked\r\n",
         in_chunks(inner_request)}};
    for (const framing_case& framing : framings)
        check_refused(framing, "501",
                      exchange_failure_cause::request_coding_unknown);
}

// A name that is followed by a blank is not the field that another reader may
// take it for.
BOOST_AUTO_TEST_CASE(request_with_a_malformed_framing_field_is_refused)
{
    const framing_case framings[] = {
        {"1.1", "Transfer-Encoding : chunked\r\n", in_chunks(inner_request)},
        {"1.1", "Content-Length : 5\r\n", inner_request},
        {"1.1", " Content-Length: 5\r\n", inner_request},
        {"1.1", "Transfer-Encoding\x0b: chunked\r\n", in_chunks(inner_request)},
        {"1.1", "Transfer-Encoding: \013chunked\r\n", in_chunks(inner_request)},
        {"1.1", "X: a\nTransfer-Encoding: chunked\r\n",
         in_chunks(inner_request)}};
    for (const framing_case& framing : framings)
        check_refused(framing, "400", exchange_failure_cause::request_invalid);
}

BOOST_AUTO_TEST_SUITE_END()
