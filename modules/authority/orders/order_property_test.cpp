#include "authority/orders/order_simulation_test.hpp"

#include <boost/test/unit_test.hpp>

using namespace hibiscusferry;

namespace
{

constexpr std::uint64_t seed_count = 80;

/** Runs all seeds and returns the number of runs with a violation. */
std::size_t count_violations(order_check check, injected_fault fault)
{
    std::size_t violations = 0;
    std::size_t effects = 0;
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed)
    {
        order_simulation simulation(check, fault, seed);
        const std::string violation = simulation.run();
        effects += simulation.effects();
        violations += violation.empty() ? 0U : 1U;
        if (fault == injected_fault::none)
            BOOST_TEST(violation == "", "seed " << seed << ": " << violation);
    }
    BOOST_TEST_MESSAGE(violations << " of " << seed_count
                                  << " runs violated a rule, " << effects
                                  << " effects");
    // Runs without any effect violate no rule, so check that orders took
    // effect. A run stops at its first violation.
    if (violations == 0)
        BOOST_TEST(effects > seed_count * 10);
    return violations;
}

} // namespace

BOOST_AUTO_TEST_SUITE(order_property_test)

BOOST_AUTO_TEST_CASE(no_conflicting_orders_with_fencing_numbers)
{
    count_violations(order_check::fencing, injected_fault::none);
}

BOOST_AUTO_TEST_CASE(no_conflicting_orders_without_fencing_numbers)
{
    count_violations(order_check::none, injected_fault::none);
}

BOOST_AUTO_TEST_CASE(targets_that_lose_the_number_are_detected)
{
    BOOST_TEST(
        count_violations(order_check::fencing,
                         injected_fault::fence_confirmed_but_not_stored) > 0U);
}

BOOST_AUTO_TEST_CASE(reporting_a_paused_host_as_removed_is_detected)
{
    BOOST_TEST(count_violations(order_check::none,
                                injected_fault::paused_host_reported_removed) >
               0U);
}

BOOST_AUTO_TEST_CASE(a_store_that_ignores_conditions_is_detected)
{
    BOOST_TEST(count_violations(order_check::fencing,
                                injected_fault::store_ignores_conditions) > 0U);
}

BOOST_AUTO_TEST_SUITE_END()
