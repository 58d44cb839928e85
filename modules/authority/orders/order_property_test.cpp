#include "authority/orders/order_world_test.hpp"

#include <boost/test/unit_test.hpp>

using namespace hibiscusferry;

namespace
{

constexpr std::uint64_t seed_count = 80;

/** Runs all seeds; how many of them broke a rule. */
std::size_t broken_runs(order_check check, planted_fault fault)
{
    std::size_t broken = 0;
    std::size_t effects = 0;
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed)
    {
        order_world world(check, fault, seed);
        const std::string violation = world.run();
        effects += world.effects();
        broken += violation.empty() ? 0U : 1U;
        if (fault == planted_fault::none)
            BOOST_TEST(violation == "", "seed " << seed << ": " << violation);
    }
    BOOST_TEST_MESSAGE(broken << " of " << seed_count << " runs broken, "
                              << effects << " effects");
    // The rules say nothing of runs in which nothing happens. Runs end at
    // the first broken rule.
    if (broken == 0)
        BOOST_TEST(effects > seed_count * 10);
    return broken;
}

} // namespace

BOOST_AUTO_TEST_SUITE(order_property_test)

BOOST_AUTO_TEST_CASE(no_conflicting_orders_where_numbers_are_checked)
{
    broken_runs(order_check::fencing, planted_fault::none);
}

BOOST_AUTO_TEST_CASE(no_conflicting_orders_where_numbers_are_ignored)
{
    broken_runs(order_check::none, planted_fault::none);
}

BOOST_AUTO_TEST_CASE(targets_that_forget_the_number_are_found)
{
    BOOST_TEST(broken_runs(order_check::fencing,
                           planted_fault::fence_confirmed_but_not_kept) > 0U);
}

BOOST_AUTO_TEST_CASE(calling_a_paused_host_gone_is_found)
{
    BOOST_TEST(broken_runs(order_check::none,
                           planted_fault::paused_host_called_gone) > 0U);
}

BOOST_AUTO_TEST_CASE(a_store_that_ignores_conditions_is_found)
{
    BOOST_TEST(broken_runs(order_check::fencing,
                           planted_fault::store_ignores_conditions) > 0U);
}

BOOST_AUTO_TEST_SUITE_END()
