#include "foundation/foundation.hpp"

#include <boost/test/unit_test.hpp>

using namespace hibiscusferry;

BOOST_AUTO_TEST_SUITE(hybrid_logical_clock_test)

BOOST_AUTO_TEST_CASE(ticks_increase_while_wall_clock_is_constant)
{
    hybrid_logical_clock clock;
    const wall_time_point now{std::chrono::seconds(5)};
    const hybrid_timestamp first = clock.tick(now);
    const hybrid_timestamp second = clock.tick(now);
    BOOST_TEST((first < second));
}

// The clock of the sender is 40 s ahead of the receiver's. Without the logical
// part, the receive event would be ordered before the send event.
BOOST_AUTO_TEST_CASE(receive_is_ordered_after_send_despite_skew)
{
    hybrid_logical_clock sender;
    hybrid_logical_clock receiver;
    const wall_time_point ahead{std::chrono::seconds(50)};
    const wall_time_point behind{std::chrono::seconds(10)};
    const hybrid_timestamp sent = sender.tick(ahead);
    BOOST_TEST(receiver.observe(sent, behind));
    BOOST_TEST((sent < receiver.tick(behind)));
}

// One host whose clock is wrong by a day must not shift the timestamps of all
// hosts it communicates with.
BOOST_AUTO_TEST_CASE(timestamp_far_ahead_is_ignored)
{
    hybrid_logical_clock clock;
    const wall_time_point now{std::chrono::seconds(10)};
    const hybrid_timestamp wrong{
        std::chrono::microseconds(std::chrono::hours(24)).count(), 0};
    BOOST_TEST(!clock.observe(wrong, now));
    BOOST_TEST((clock.tick(now) < wrong));
}

BOOST_AUTO_TEST_CASE(text_round_trips_and_malformed_text_is_rejected)
{
    const hybrid_timestamp stamp{1234567, 8};
    BOOST_TEST((hybrid_timestamp::parse(stamp.text()).value() == stamp));
    for (const char* garbage : {"", "12", "12.", ".3", "12.3x", "a.b"})
        BOOST_TEST(!hybrid_timestamp::parse(garbage).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
