#include "gateway/gateway.hpp"

#include <boost/test/unit_test.hpp>

using namespace hibiscusferry;

namespace
{

time_point at(int milliseconds)
{
    return time_point{std::chrono::milliseconds(milliseconds)};
}

} // namespace

BOOST_AUTO_TEST_SUITE(configuration_lag_test)

BOOST_AUTO_TEST_CASE(nothing_is_missing_until_another_host_is_ahead)
{
    configuration_lag lag;
    BOOST_TEST(!lag.missing_since().has_value());
    lag.record_newer({0, 7}, at(100));
    BOOST_TEST((lag.missing_since() == at(100)));
    BOOST_TEST(lag.duration(at(350)).count() == 250);
    lag.record_own({0, 6});
    BOOST_TEST(lag.duration(at(350)).count() == 250);
    lag.record_own({0, 7});
    BOOST_TEST(!lag.missing_since().has_value());
}

// A host that takes each of many versions in time is not late.
BOOST_AUTO_TEST_CASE(each_version_is_late_by_its_own_time)
{
    configuration_lag lag;
    lag.record_newer({0, 7}, at(100));
    lag.record_newer({0, 8}, at(600));
    lag.record_own({0, 7});
    BOOST_TEST(lag.duration(at(700)).count() == 100);
    lag.record_newer({0, 8}, at(900));
    BOOST_TEST(lag.duration(at(1000)).count() == 400);
}

BOOST_AUTO_TEST_CASE(many_versions_are_kept_as_a_few)
{
    configuration_lag lag;
    constexpr int versions = 1000;
    for (int version = 1; version <= versions; ++version)
        lag.record_newer({0, static_cast<row_version>(version)}, at(version));
    lag.record_own({0, versions - 1});
    BOOST_TEST(lag.missing_since().has_value());
    lag.record_own({0, versions});
    BOOST_TEST(!lag.missing_since().has_value());
}

BOOST_AUTO_TEST_SUITE_END()
