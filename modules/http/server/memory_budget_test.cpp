#include "http/http.hpp"

#include <boost/test/unit_test.hpp>
#include <deque>

using namespace hibiscusferry;

namespace
{

constexpr std::size_t capacity = 64U << 20;
constexpr std::size_t large = 4U << 20;
constexpr std::size_t small = memory_budget::small_bytes;

std::shared_ptr<memory_budget> new_budget()
{
    return std::make_shared<memory_budget>(capacity);
}

/** Adds reservations until one is refused. Returns how many fit. */
std::size_t fill(std::deque<memory_budget::reservation>& reservations,
                 const std::shared_ptr<memory_budget>& budget, memory_use use,
                 std::size_t bytes)
{
    std::size_t count = 0;
    for (;; ++count)
    {
        reservations.emplace_back(budget, use);
        if (!reservations.back().resize(bytes))
            return count;
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(memory_budget_test)

// Guards against large requests that leave no room for the responses to others,
// and against both leaving none for small requests.
BOOST_AUTO_TEST_CASE(large_reservations_leave_room_for_small_ones)
{
    const std::shared_ptr<memory_budget> budget = new_budget();
    std::deque<memory_budget::reservation> reservations;
    BOOST_TEST(fill(reservations, budget, memory_use::request, large) ==
               capacity / 8 * 6 / large);
    BOOST_TEST(fill(reservations, budget, memory_use::response, large) ==
               capacity / 8 / large);
    BOOST_TEST(fill(reservations, budget, memory_use::request, small) ==
               capacity / 8 / small);
    BOOST_TEST(budget->used() <= capacity);
}

// Guards against a request that grows in small steps past the limit.
BOOST_AUTO_TEST_CASE(growing_requests_stay_within_the_budget)
{
    constexpr std::size_t step = 32U << 10;
    const std::shared_ptr<memory_budget> budget = new_budget();
    std::deque<memory_budget::reservation> reservations;
    for (int count = 0; count < 200; ++count)
        reservations.emplace_back(budget, memory_use::request);
    bool has_grown = true;
    while (has_grown)
    {
        has_grown = false;
        for (memory_budget::reservation& request : reservations)
            has_grown = request.resize(request.bytes() + step) || has_grown;
    }
    BOOST_TEST(budget->used() <= capacity);
}

BOOST_AUTO_TEST_CASE(refused_growth_leaves_the_reservation_unchanged)
{
    const std::shared_ptr<memory_budget> budget = new_budget();
    memory_budget::reservation request(budget, memory_use::request);
    BOOST_TEST(request.resize(large));
    BOOST_TEST(!request.resize(capacity));
    BOOST_TEST(request.bytes() == large);
    BOOST_TEST(budget->used() == large);
    BOOST_TEST(request.resize(small));
    BOOST_TEST(budget->used() == small);
}

BOOST_AUTO_TEST_CASE(released_memory_is_available_again)
{
    const std::shared_ptr<memory_budget> budget = new_budget();
    for (int round = 0; round < 3; ++round)
    {
        std::deque<memory_budget::reservation> reservations;
        BOOST_TEST(fill(reservations, budget, memory_use::request, large) ==
                   capacity / 8 * 6 / large);
    }
    BOOST_TEST(budget->used() == 0U);
}

// Memory that is held already may exceed the budget; nothing else may then.
BOOST_AUTO_TEST_CASE(forced_memory_counts)
{
    const std::shared_ptr<memory_budget> budget = new_budget();
    memory_budget::reservation held(budget, memory_use::response);
    held.force(2 * capacity);
    memory_budget::reservation request(budget, memory_use::request);
    BOOST_TEST(!request.resize(1));
    held.force(0);
    BOOST_TEST(request.resize(1));
}

// A response may have run; it must not fail while stopped clients hold memory.
BOOST_AUTO_TEST_CASE(response_has_stopped_requests_release_their_memory)
{
    const std::shared_ptr<memory_budget> budget = new_budget();
    memory_budget::reservation stopped(budget, memory_use::request);
    stopped.force(capacity);
    budget->set_reclaimer(
        [&]
        {
            const bool has_released = stopped.bytes() > 0;
            stopped.force(0);
            return has_released;
        });
    memory_budget::reservation response(budget, memory_use::response);
    BOOST_TEST(response.resize(large));
    BOOST_TEST(!response.resize(capacity));
    BOOST_TEST(budget->used() == large);
}

BOOST_AUTO_TEST_CASE(memory_without_budget_is_not_limited)
{
    memory_budget::reservation request(nullptr, memory_use::request);
    BOOST_TEST(request.resize(capacity * 100));
}

BOOST_AUTO_TEST_SUITE_END()
