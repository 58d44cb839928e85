#include "claims/testing/claim_simulation.hpp"

#include <boost/test/unit_test.hpp>

using namespace hibiscusferry;
using namespace hibiscusferry::testing;

namespace
{

constexpr std::uint64_t random_seeds = 1500;
constexpr std::uint64_t fault_seeds = 600;

std::size_t breaches_with(router_fault router, table_fault table)
{
    std::size_t breaches = 0;
    for (std::uint64_t seed = 1; seed <= fault_seeds; ++seed)
        breaches += claim_simulation(seed, router, table).run().breaches.size();
    return breaches;
}

} // namespace

BOOST_AUTO_TEST_SUITE(claims_property_test)

BOOST_AUTO_TEST_CASE(no_key_runs_twice_and_every_response_is_correct)
{
    for (std::uint64_t seed = 1; seed <= random_seeds; ++seed)
    {
        const claim_report report = claim_simulation(seed).run();
        for (const std::string& breach : report.breaches)
            BOOST_ERROR("seed " << seed << ": " << breach);
    }
}

BOOST_AUTO_TEST_CASE(injected_faults_are_detected)
{
    BOOST_TEST(breaches_with(router_fault::starts_before_claim,
                             table_fault::none) > 0U);
    BOOST_TEST(breaches_with(router_fault::retries_interrupted_calls,
                             table_fault::none) > 0U);
    BOOST_TEST(
        breaches_with(router_fault::none, table_fault::skips_tombstones) > 0U);
    BOOST_TEST(breaches_with(router_fault::none,
                             table_fault::ignores_conditions) > 0U);
}

BOOST_AUTO_TEST_SUITE_END()
