#include "http/http.hpp"

#include <boost/test/unit_test.hpp>

using namespace hibiscusferry;

BOOST_AUTO_TEST_SUITE(event_stream_parser_test)

// TCP may split an event at any byte, also within a CRLF pair or within the
// empty line that ends it.
BOOST_AUTO_TEST_CASE(parsing_is_independent_of_chunk_boundaries)
{
    const std::string bytes = "id: g:1\ndata: {\"a\":1}\n\n"
                              "id: g:2\r\ndata: x\r\ndata: y\r\n\r\n"
                              "data: [DONE]\n\n";
    for (std::size_t step = 1; step < bytes.size(); ++step)
    {
        event_stream_parser parser;
        std::string events;
        std::string raw;
        for (std::size_t position = 0; position < bytes.size();
             position += step)
        {
            BOOST_TEST(parser.add(bytes.substr(position, step)));
            while (const std::optional<server_sent_event> event = parser.next())
            {
                events += event->id + "|" + event->data + ";";
                raw += event->raw;
            }
        }
        BOOST_TEST(events == "g:1|{\"a\":1};g:2|x\ny;|[DONE];");
        BOOST_TEST(raw == bytes);
    }
}

// A target that never ends an event must not make the buffer grow without
// bound.
BOOST_AUTO_TEST_CASE(unterminated_event_is_rejected_at_size_limit)
{
    event_stream_parser parser;
    BOOST_TEST(
        parser.add(std::string(event_stream_parser::max_event_bytes, 'x')));
    BOOST_TEST(!parser.add("x"));
}

// Guards against comments and empty lines that count as events of a target that
// makes no progress.
BOOST_AUTO_TEST_CASE(comments_and_empty_lines_are_no_events)
{
    const std::string bytes = "\n\n: x\n\n\r\n\r\nretry: 5\n\n"
                              "id: 1\ndata: a\n\n"
                              "\n\n\n: y\r\n\r\n"
                              ": z\nid: 2\n\n"
                              ": end\n\n";
    for (std::size_t step = 1; step <= bytes.size(); ++step)
    {
        event_stream_parser parser;
        std::string events;
        std::string raw;
        for (std::size_t position = 0; position < bytes.size();
             position += step)
        {
            BOOST_TEST(parser.add(bytes.substr(position, step)));
            while (const std::optional<server_sent_event> event = parser.next())
            {
                events += event->id + "|" + event->data + ";";
                raw += event->raw;
            }
        }
        BOOST_TEST(events == "1|a;2|;");
        BOOST_TEST(raw + parser.remainder() == bytes);
        BOOST_TEST(parser.remainder() == ": end\n\n");
        BOOST_TEST(!parser.is_within_event());
        BOOST_TEST(parser.add("\n"));
        BOOST_TEST(!parser.next());
        BOOST_TEST(!parser.is_within_event());
        BOOST_TEST(parser.add("d"));
        BOOST_TEST(!parser.next());
        BOOST_TEST(parser.is_within_event());
    }
}

BOOST_AUTO_TEST_CASE(endless_empty_lines_are_rejected_at_size_limit)
{
    event_stream_parser parser;
    const std::string lines(event_stream_parser::max_event_bytes / 64, '\n');
    for (int count = 0; count < 64; ++count)
    {
        BOOST_TEST(parser.add(lines));
        BOOST_TEST(!parser.next());
    }
    BOOST_TEST(!parser.add("\n"));
}

BOOST_AUTO_TEST_SUITE_END()
