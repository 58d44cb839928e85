#include "http/http.hpp"

#include <boost/test/unit_test.hpp>

using namespace hibiscusferry;

BOOST_AUTO_TEST_SUITE(event_stream_parser_test)

BOOST_AUTO_TEST_CASE(events_are_the_same_however_the_bytes_are_cut)
{
    const std::string bytes = "id: g:1\ndata: {\"a\":1}\n\n"
                              "id: g:2\r\ndata: x\r\ndata: y\r\n\r\n"
                              "data: [DONE]\n\n";
    for (std::size_t step = 1; step < bytes.size(); ++step)
    {
        event_stream_parser parser;
        std::string seen;
        std::string raw;
        for (std::size_t at = 0; at < bytes.size(); at += step)
        {
            BOOST_TEST(parser.add(bytes.substr(at, step)));
            while (const std::optional<server_sent_event> event = parser.next())
            {
                seen += event->id + "|" + event->data + ";";
                raw += event->raw;
            }
        }
        BOOST_TEST(seen == "g:1|{\"a\":1};g:2|x\ny;|[DONE];");
        BOOST_TEST(raw == bytes);
    }
}

BOOST_AUTO_TEST_CASE(an_event_without_end_is_refused_at_the_limit)
{
    event_stream_parser parser;
    BOOST_TEST(
        parser.add(std::string(event_stream_parser::event_byte_limit, 'x')));
    BOOST_TEST(!parser.add("x"));
}

BOOST_AUTO_TEST_SUITE_END()
