#include "http/http.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>

// Bytes that are no valid response must not be taken for one, whatever they
// resemble.

using namespace hibiscusferry;
using boost::asio::yield_context;

namespace
{

constexpr std::chrono::milliseconds call_timeout{600};
/** Less than call_timeout: an invalid response is not waited for. */
constexpr std::chrono::milliseconds prompt_time{300};

/** What a client received from a server that sends fixed bytes. */
struct outcome_of_call
{
    result<http_response> response = make_error_code(http_error::not_open);
    std::chrono::milliseconds elapsed{0};
    std::size_t idle_connections = 0;
    /** Whether the client has closed the connection. */
    bool is_closed = false;
    std::vector<std::error_code> reported;
};

/** Sends bytes after the head of each request, and keeps the connection open
    unless `closes`. */
void serve_bytes(boost::asio::ip::tcp::acceptor& acceptor,
                 const std::string& bytes, bool closes,
                 outcome_of_call& outcome, yield_context yield)
{
    boost::system::error_code error;
    boost::asio::ip::tcp::socket socket(acceptor.get_executor());
    acceptor.async_accept(socket, yield[error]);
    std::string received;
    boost::asio::async_read_until(socket, boost::asio::dynamic_buffer(received),
                                  "\r\n\r\n", yield[error]);
    boost::asio::async_write(socket, boost::asio::buffer(bytes), yield[error]);
    if (closes)
        return;
    char byte = 0;
    socket.async_read_some(boost::asio::buffer(&byte, 1), yield[error]);
    outcome.is_closed = static_cast<bool>(error);
}

enum class call_kind
{
    call,
    transfer
};

outcome_of_call call_server(const std::string& bytes, bool closes = false,
                            call_kind kind = call_kind::call,
                            const std::string& method = "GET")
{
    boost::asio::io_context context;
    outcome_of_call outcome;
    boost::asio::ip::tcp::acceptor acceptor(
        context, {boost::asio::ip::address_v4::loopback(), 0});
    const http_endpoint endpoint{"127.0.0.1", acceptor.local_endpoint().port()};
    start_task(context, [&](yield_context yield)
               { serve_bytes(acceptor, bytes, closes, outcome, yield); });
    http_connection_pool pool(context);
    pool.on_invalid_response(
        [&](const http_endpoint& peer, std::error_code problem)
        {
            BOOST_TEST(peer.text() == endpoint.text());
            outcome.reported.push_back(problem);
        });
    start_task(context,
               [&](yield_context yield)
               {
                   const http_request request{method, "/"};
                   const time_point begun_at = boot_clock::now();
                   if (kind == call_kind::call)
                       outcome.response = http_call(pool, endpoint, request,
                                                    call_timeout, 1000, yield);
                   else
                       outcome.response = http_transfer(
                           pool, endpoint, request,
                           {call_timeout, call_timeout, call_timeout, 1000}, {},
                           yield);
                   outcome.elapsed =
                       std::chrono::duration_cast<std::chrono::milliseconds>(
                           boot_clock::now() - begun_at);
                   outcome.idle_connections = pool.idle_connections();
                   // Lets the server see the end of the connection.
                   sleep_for(context, std::chrono::milliseconds(20), yield);
                   context.stop();
               });
    context.run_for(std::chrono::seconds(5));
    return outcome;
}

std::string with_status(const std::string& status)
{
    return "HTTP/1.1 " + status + " X\r\nContent-Length: 5\r\n\r\nwhole";
}

std::string with_fields(const std::string& fields, const std::string& body,
                        const std::string& version = "1.1",
                        const std::string& status = "200")
{
    return "HTTP/" + version + " " + status + " X\r\n" + fields + "\r\n" + body;
}

/** Checks that bytes are refused at once, that they are reported, and that
    nothing further is read from the connection. */
void check_refused(const std::string& bytes, http_error expected)
{
    const std::string next =
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother";
    for (const call_kind kind : {call_kind::call, call_kind::transfer})
        for (const std::string& text : {bytes, bytes + next})
        {
            BOOST_TEST_CONTEXT(text.substr(0, 120))
            {
                const outcome_of_call outcome = call_server(text, false, kind);
                BOOST_REQUIRE(!outcome.response);
                BOOST_TEST((outcome.response.error() == expected),
                           outcome.response.error().message());
                BOOST_TEST((outcome.elapsed < prompt_time));
                BOOST_TEST(outcome.idle_connections == 0U);
                BOOST_TEST(outcome.is_closed);
                BOOST_REQUIRE(outcome.reported.size() == 1U);
                BOOST_TEST((outcome.reported[0] == expected));
            }
        }
}

} // namespace

BOOST_AUTO_TEST_SUITE(response_head_test)

// Guards against an answer with status 000 that reached a client.
BOOST_AUTO_TEST_CASE(a_status_without_a_class_is_refused)
{
    for (const char* status : {"000", "001", "099", "600", "700", "999"})
        check_refused(with_status(status), http_error::unknown_status);
}

BOOST_AUTO_TEST_CASE(a_status_that_is_no_number_of_three_digits_is_refused)
{
    for (const char* status :
         {"", "2", "20", "2000", "-20", "+20", "0x2", "2 0", " 200", "20a"})
        check_refused(with_status(status), http_error::bad_message);
}

BOOST_AUTO_TEST_CASE(a_status_of_each_class_is_accepted)
{
    for (const char* status :
         {"200", "299", "304", "399", "404", "499", "500", "503", "599"})
    {
        const outcome_of_call outcome = call_server(with_status(status));
        BOOST_TEST_CONTEXT(status)
        {
            BOOST_REQUIRE(outcome.response);
            BOOST_TEST(std::to_string(outcome.response.value().status) ==
                       status);
            BOOST_TEST(outcome.reported.empty());
        }
    }
}

// No request asks for another protocol, so nothing after such a head is HTTP.
BOOST_AUTO_TEST_CASE(a_switch_of_the_protocol_is_refused)
{
    check_refused(
        "HTTP/1.1 101 X\r\nConnection: upgrade\r\nUpgrade: h2c\r\n\r\n",
        http_error::unknown_status);
    check_refused("HTTP/1.1 100 X\r\n\r\nHTTP/1.1 101 X\r\n\r\n",
                  http_error::unknown_status);
}

BOOST_AUTO_TEST_CASE(interim_responses_are_skipped)
{
    for (const char* status : {"100", "102", "103", "199"})
    {
        const outcome_of_call outcome =
            call_server("HTTP/1.1 " + std::string(status) +
                        " X\r\nLink: </a>\r\n\r\n" + with_status("200"));
        BOOST_REQUIRE(outcome.response);
        BOOST_TEST(outcome.response.value().body == "whole");
    }
}

// The body of a response that has none would be read as the next response.
BOOST_AUTO_TEST_CASE(a_response_without_a_body_that_announces_one_is_refused)
{
    for (const char* status : {"100", "103", "204"})
    {
        check_refused(with_fields("Content-Length: 5\r\n", "", "1.1", status),
                      http_error::unknown_length);
        check_refused(
            with_fields("Transfer-Encoding: chunked\r\n", "", "1.1", status),
            http_error::unknown_length);
    }
    const outcome_of_call outcome =
        call_server(with_fields("Content-Length: 0\r\n", "", "1.1", "204"));
    BOOST_REQUIRE(outcome.response);
    BOOST_TEST(outcome.response.value().body.empty());
}

// Guards against the frames of chunks, coded bytes or a part of the body that
// reached a client as a whole body.
BOOST_AUTO_TEST_CASE(a_body_whose_length_is_not_certain_is_refused)
{
    const std::string chunks = "5\r\nwhole\r\n0\r\n\r\n";
    for (const char* fields :
         {"Transfer-Encoding: gzip\r\n",
          "Transfer-Encoding: identity\r\n",
          "Transfer-Encoding: xchunked\r\n",
          "Transfer-Encoding: chunked, gzip\r\n",
          "Transfer-Encoding:\r\n",
          "Transfer-Encoding: chunked;q=1\r\n",
          "Transfer-Encoding: chunked,\r\n",
          "Transfer-Encoding: chunked, chunked\r\n",
          "Transfer-Encoding: gzip\r\nTransfer-Encoding: identity\r\n",
          "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
          "Transfer-Encoding: gzip\r\nContent-Length: 4\r\n",
          "Content-Length: 4\r\nTransfer-Encoding: gzip\r\n",
          "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
          "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
          "Content-Length: 5\r\nContent-Length: 4\r\n",
          "Content-Length: 5\r\nContent-Length: 5\r\n",
          "Content-Length: 5, 5\r\n",
          "Content-Length:\r\n",
          "Content-Length: +5\r\n",
          "Content-Length: -5\r\n",
          "Content-Length: 5x\r\n"})
        check_refused(with_fields(fields, chunks), http_error::unknown_length);
    check_refused(with_fields("Transfer-Encoding: chunked\r\n", chunks, "1.0"),
                  http_error::unknown_length);
}

BOOST_AUTO_TEST_CASE(a_coded_body_is_refused)
{
    const std::string chunks = "5\r\nwhole\r\n0\r\n\r\n";
    for (const char* fields :
         {"Transfer-Encoding: gzip, chunked\r\n",
          "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
          "Transfer-Encoding: identity, chunked\r\n"})
        check_refused(with_fields(fields, chunks), http_error::unknown_coding);
}

// Guards against a head whose field has no valid name, so that the line was
// passed on or framed the body.
BOOST_AUTO_TEST_CASE(a_field_that_is_malformed_is_refused)
{
    const std::string fields[] = {"Field Name: a\r\n",
                                  "Field\tName: a\r\n",
                                  std::string("Field\x01Name: a\r\n"),
                                  std::string("Field\0Name: a\r\n", 15),
                                  "Field\x7fName: a\r\n",
                                  "Field\xc3\xa4: a\r\n",
                                  ": a\r\n",
                                  "no colon\r\n",
                                  " Field: a\r\n",
                                  "Field : a\r\n",
                                  "Content-Length : 5\r\n",
                                  "Transfer-Encoding : chunked\r\n",
                                  "Field\r: a\r\n",
                                  "Field: a\001b\r\n",
                                  std::string("Field: a\0b\r\n", 12),
                                  "Field: a\177b\r\n",
                                  "Field: a\rb\r\n",
                                  "Field: a\nContent-Length: 5\r\n",
                                  "Field(: a\r\n",
                                  "Field@: a\r\n",
                                  "{Field}: a\r\n"};
    for (const std::string& field : fields)
        check_refused(with_fields(field + "Content-Length: 5\r\n", "whole"),
                      http_error::bad_message);
}

BOOST_AUTO_TEST_CASE(chunks_that_are_malformed_are_refused)
{
    for (const char* chunks :
         {"x\r\nwhole\r\n0\r\n\r\n", "-5\r\nwhole\r\n0\r\n\r\n",
          "+5\r\nwhole\r\n0\r\n\r\n", "0x5\r\nwhole\r\n0\r\n\r\n",
          "5\r\nwholexx0\r\n\r\n", "5\nwhole\r\n0\r\n\r\n",
          "10000000000000005\r\nwhole\r\n0\r\n\r\n"})
        check_refused(with_fields("Transfer-Encoding: chunked\r\n", chunks),
                      http_error::bad_message);
}

BOOST_AUTO_TEST_CASE(a_body_without_a_length_ends_with_its_connection)
{
    for (const call_kind kind : {call_kind::call, call_kind::transfer})
    {
        const outcome_of_call outcome =
            call_server(with_fields("", "whole"), true, kind);
        BOOST_REQUIRE(outcome.response);
        BOOST_TEST(outcome.response.value().body == "whole");
        BOOST_TEST(outcome.idle_connections == 0U);
    }
}

BOOST_AUTO_TEST_SUITE_END()
