#include "gateway/gateway.hpp"

#include <boost/test/unit_test.hpp>
#include <deque>

using namespace hibiscusferry;

namespace
{

constexpr std::size_t share = response_memory::share_bytes;
constexpr std::size_t pool = 1U << 20;

} // namespace

BOOST_AUTO_TEST_SUITE(response_memory_test)

BOOST_AUTO_TEST_CASE(a_response_takes_at_most_half_of_the_pool)
{
    const std::shared_ptr<response_memory> memory =
        std::make_shared<response_memory>();
    response_memory::reservation response(memory);
    BOOST_TEST(response.resize(share + pool / 2, pool));
    BOOST_TEST(!response.resize(share + pool / 2 + 1, pool));
}

// Guards against endless responses that use up the memory of the process, or
// the pool that other responses need.
BOOST_AUTO_TEST_CASE(many_growing_responses_stay_within_the_pool)
{
    constexpr std::size_t step = 4096;
    const std::shared_ptr<response_memory> memory =
        std::make_shared<response_memory>();
    std::deque<response_memory::reservation> responses;
    std::size_t total = 0;
    for (int count = 0; count < 700; ++count)
    {
        responses.emplace_back(memory);
        std::size_t size = share;
        BOOST_TEST(responses.back().resize(size, pool));
        while (responses.back().resize(size + step, pool))
            size += step;
        total += size - share;
    }
    BOOST_TEST(total < pool);
    BOOST_TEST(total > pool / 2);
}

BOOST_AUTO_TEST_CASE(a_completed_response_returns_its_memory)
{
    const std::shared_ptr<response_memory> memory =
        std::make_shared<response_memory>();
    for (int round = 0; round < 3; ++round)
    {
        response_memory::reservation response(memory);
        BOOST_TEST(response.resize(share + pool / 2, pool));
        BOOST_TEST(response.resize(0, pool));
        response_memory::reservation other(memory);
        BOOST_TEST(other.resize(share + pool / 2, pool));
    }
}

BOOST_AUTO_TEST_CASE(a_smaller_pool_stops_further_growth_only)
{
    const std::shared_ptr<response_memory> memory =
        std::make_shared<response_memory>();
    response_memory::reservation response(memory);
    BOOST_TEST(response.resize(share + pool / 2, pool));
    BOOST_TEST(!response.resize(share + pool / 2 + 1, pool / 4));
    BOOST_TEST(response.resize(share + pool / 2, pool / 4));
    BOOST_TEST(response.resize(share + pool / 3, pool / 4));
}

BOOST_AUTO_TEST_SUITE_END()
