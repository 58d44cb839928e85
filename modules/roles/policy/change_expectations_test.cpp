#include "roles/roles.hpp"

#include <boost/test/unit_test.hpp>

using namespace hibiscusferry;
using std::chrono::seconds;

namespace
{

time_point time_at(int second)
{
    return time_point(std::chrono::hours(1)) + seconds(second);
}

engine_report report_at(engine_role role, int measured_at)
{
    engine_report report;
    report.engine = "engine-1";
    report.role = role;
    report.measured_at = time_at(measured_at);
    return report;
}

} // namespace

BOOST_AUTO_TEST_SUITE(change_expectations_test)

BOOST_AUTO_TEST_CASE(
    a_report_from_before_the_completion_does_not_remove_the_expectation)
{
    change_expectations expectations;
    expectations.expect("engine-1", engine_role::decode, time_at(60),
                        time_at(0));
    expectations.on_report(report_at(engine_role::prefill, 5), time_at(20));
    expectations.on_finished("engine-1", time_at(30));
    expectations.on_report(report_at(engine_role::prefill, 29), time_at(45));
    BOOST_TEST(expectations.expected_role("engine-1").has_value());

    expectations.on_report(report_at(engine_role::decode, 31), time_at(46));
    BOOST_TEST(!expectations.expected_role("engine-1").has_value());
}

BOOST_AUTO_TEST_CASE(a_report_from_before_the_order_does_not_confirm_the_change)
{
    // The engine was in the decode role earlier and has changed since. A
    // delayed report from that time must not confirm the new change.
    change_expectations expectations;
    expectations.expect("engine-1", engine_role::decode, time_at(60),
                        time_at(10));
    expectations.on_report(report_at(engine_role::decode, 5), time_at(20));
    BOOST_TEST(expectations.expected_role("engine-1").has_value());
}

BOOST_AUTO_TEST_CASE(a_newer_report_of_another_role_removes_the_expectation)
{
    change_expectations expectations;
    expectations.expect("engine-1", engine_role::decode, time_at(60),
                        time_at(0));
    expectations.on_finished("engine-1", time_at(30));
    expectations.on_report(report_at(engine_role::mixed, 31), time_at(32));
    BOOST_TEST(!expectations.expected_role("engine-1").has_value());
}

BOOST_AUTO_TEST_CASE(expiry_depends_on_the_deadline_and_the_observed_lag)
{
    for (const int lag : {1, 15})
    {
        change_expectations expectations;
        for (int second = 0; second < 100; second += 2)
            expectations.on_report(
                report_at(engine_role::prefill, second - lag), time_at(second));
        expectations.expect("engine-1", engine_role::decode, time_at(160),
                            time_at(100));
        // Reports arrive every two seconds, and two consecutive reports may be
        // lost.
        const int last_valid_second = 160 + lag + 3 * 2;
        BOOST_TEST(expectations.expire(time_at(last_valid_second)).empty());
        BOOST_TEST(expectations.expire(time_at(last_valid_second + 1)).size() ==
                   1);
        BOOST_TEST(expectations.size() == 0);
    }
}

BOOST_AUTO_TEST_CASE(a_withdrawn_change_is_not_expected)
{
    change_expectations expectations;
    expectations.expect("engine-1", engine_role::decode, time_at(60),
                        time_at(0));
    expectations.withdraw("engine-1");
    BOOST_TEST(!expectations.expected_role("engine-1").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
