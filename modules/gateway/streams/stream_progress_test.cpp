#include "gateway/gateway.hpp"

#include <boost/test/unit_test.hpp>

using namespace hibiscusferry;

namespace
{

using placement = stream_progress::placement;

server_sent_event make_event(const std::string& id,
                             const std::string& data = "text")
{
    server_sent_event event;
    event.id = id;
    event.data = data;
    return event;
}

/** Sends these events to the caller. */
void advance(stream_progress& position, const std::vector<std::string>& ids)
{
    for (const std::string& id : ids)
        position.advance(make_event(id));
}

/** The position after events with these ids, when another target continues. */
stream_progress continued_after(const std::vector<std::string>& ids)
{
    stream_progress position;
    advance(position, ids);
    position.begin_continuation();
    return position;
}

void check(stream_progress position, const server_sent_event& event,
           placement expected)
{
    BOOST_TEST_CONTEXT("event " << event.id)
    BOOST_TEST((position.place(event) == expected));
}

} // namespace

BOOST_AUTO_TEST_SUITE(stream_progress_test)

BOOST_AUTO_TEST_CASE(first_response_is_sent_as_it_is)
{
    stream_progress position;
    for (const char* id : {"5", "5", "", "x", "1"})
    {
        check(position, make_event(id), placement::next);
        position.advance(make_event(id));
    }
}

BOOST_AUTO_TEST_CASE(continuation_follows_the_last_event)
{
    const stream_progress position = continued_after({"1", "3"});
    check(position, make_event("4"), placement::next);
    check(position, make_event("10"), placement::next);
    check(position, make_event("1"), placement::repeated);
    check(position, make_event("2"), placement::repeated);
    check(position, make_event("3"), placement::repeated);
    check(position, make_event("3", "other text"), placement::unknown);
    for (const char* id : {"", "x", "4x", "-4", "99999999999999999999"})
        check(position, make_event(id), placement::unknown);
}

BOOST_AUTO_TEST_CASE(repetition_ends_with_the_last_event)
{
    stream_progress position = continued_after({"1", "3"});
    BOOST_TEST((position.place(make_event("1")) == placement::repeated));
    check(position, make_event("4"), placement::unknown);
    BOOST_TEST((position.place(make_event("3")) == placement::repeated));
    check(position, make_event("4"), placement::next);
    check(position, make_event(""), placement::next);
    check(position, make_event("3"), placement::unknown);
}

BOOST_AUTO_TEST_CASE(gap_is_found_if_the_ids_have_counted_the_events)
{
    check(continued_after({"1", "2"}), make_event("4"), placement::unknown);
    check(continued_after({"1", "2", "3"}), make_event("4"), placement::next);
    check(continued_after({"1"}), make_event("4"), placement::next);
    check(continued_after({"1", "2", "4", "5"}), make_event("7"),
          placement::next);
}

BOOST_AUTO_TEST_CASE(only_an_event_with_the_highest_id_can_be_continued)
{
    BOOST_TEST(continued_after({"1", "2"}).can_continue());
    BOOST_TEST(!continued_after({"1", ""}).can_continue());
    BOOST_TEST(!continued_after({"1", "1"}).can_continue());
    BOOST_TEST(!continued_after({"2", "1"}).can_continue());
    BOOST_TEST(!continued_after({"x"}).can_continue());
    BOOST_TEST(!continued_after({"2", "1", "2"}).can_continue());
    BOOST_TEST(continued_after({"2", "1", "", "3"}).can_continue());
    BOOST_TEST(continued_after({"2", "1", "", "3"}).last_event_id() == "3");
}

BOOST_AUTO_TEST_CASE(resumption_that_begins_again_is_not_joined)
{
    stream_progress position("7");
    check(position, make_event("6"), placement::unknown);
    check(position, make_event("7"), placement::unknown);
    check(position, make_event("8"), placement::next);
    check(position, make_event(""), placement::next);
    check(position, make_event("x"), placement::next);
    position.advance(make_event("8"));
    check(position, make_event("7"), placement::next);
    position.begin_continuation();
    check(position, make_event("7"), placement::repeated);
    check(position, make_event("10"), placement::unknown);
}

BOOST_AUTO_TEST_CASE(resumption_after_an_id_without_an_order_is_left_alone)
{
    const stream_progress position("x");
    for (const char* id : {"", "x", "1"})
        check(position, make_event(id), placement::next);
}

BOOST_AUTO_TEST_SUITE_END()
