#include "peers/queue/peer_queue.hpp"

#include "peers/queue/retry_pause.hpp"
#include <boost/test/unit_test.hpp>

using namespace hibiscusferry;

BOOST_AUTO_TEST_SUITE(peer_queue_test)

BOOST_AUTO_TEST_CASE(the_oldest_message_makes_room_and_old_ones_expire)
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

BOOST_AUTO_TEST_CASE(pauses_double_up_to_the_longest_and_differ)
{
    retry_pause pause(std::chrono::milliseconds(100),
                      std::chrono::milliseconds(1000));
    for (const unsigned whole : {100U, 200U, 400U, 800U, 1000U, 1000U})
    {
        const auto taken = pause.after_failure(whole / 4).count();
        BOOST_TEST(taken == whole - whole / 4);
    }
    pause.reset();
    BOOST_TEST(pause.after_failure(0).count() == 100);
    BOOST_TEST(pause.after_failure(UINT64_MAX).count() >= 100);
}

BOOST_AUTO_TEST_SUITE_END()
