#include "peers/queue/peer_queue.hpp"

#include "peers/queue/reconnect_backoff.hpp"
#include <boost/test/unit_test.hpp>

using namespace hibiscusferry;

BOOST_AUTO_TEST_SUITE(peer_queue_test)

BOOST_AUTO_TEST_CASE(the_oldest_message_is_evicted_and_old_ones_expire)
{
    const time_point start;
    peer_queue queue(2, std::chrono::milliseconds(100));
    BOOST_TEST(!queue.push({"1", ""}, start));
    BOOST_TEST(!queue.push({"2", ""}, start));
    BOOST_TEST(queue.push({"3", ""}, start + std::chrono::milliseconds(50)));
    BOOST_TEST(queue.size() == 2U);
    BOOST_TEST(queue.front().type == "2");
    BOOST_TEST(queue.drop_expired(start + std::chrono::milliseconds(99)) == 0U);
    BOOST_TEST(queue.drop_expired(start + std::chrono::milliseconds(100)) ==
               1U);
    BOOST_TEST(queue.front().type == "3");
}

BOOST_AUTO_TEST_CASE(delays_double_up_to_the_maximum_with_jitter)
{
    reconnect_backoff backoff(std::chrono::milliseconds(100),
                              std::chrono::milliseconds(1000));
    for (const unsigned full_delay : {100U, 200U, 400U, 800U, 1000U, 1000U})
    {
        const auto delay = backoff.next_delay(full_delay / 4).count();
        BOOST_TEST(delay == full_delay - full_delay / 4);
    }
    backoff.reset();
    BOOST_TEST(backoff.next_delay(0).count() == 100);
    BOOST_TEST(backoff.next_delay(UINT64_MAX).count() >= 100);
}

BOOST_AUTO_TEST_SUITE_END()
