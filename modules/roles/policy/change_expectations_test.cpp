#include "roles/roles.hpp"

#include <boost/test/unit_test.hpp>

using namespace hibiscusferry;
using std::chrono::seconds;

namespace
{

time_point moment(int second)
{
    return time_point(std::chrono::hours(1)) + seconds(second);
}

engine_report report_of(engine_role role, int measured_at)
{
    engine_report report;
    report.engine = "engine-1";
    report.role = role;
    report.measured_at = moment(measured_at);
    return report;
}

} // namespace

BOOST_AUTO_TEST_SUITE(change_expectations_test)

BOOST_AUTO_TEST_CASE(an_old_report_does_not_lower_an_expectation)
{
    change_expectations expectations;
    expectations.expect("engine-1", engine_role::decode, moment(60), moment(0));
    expectations.on_report(report_of(engine_role::prefill, 5), moment(20));
    expectations.on_finished("engine-1", moment(30));
    expectations.on_report(report_of(engine_role::prefill, 29), moment(45));
    BOOST_TEST(expectations.expected_role("engine-1").has_value());

    expectations.on_report(report_of(engine_role::decode, 31), moment(46));
    BOOST_TEST(!expectations.expected_role("engine-1").has_value());
}

BOOST_AUTO_TEST_CASE(a_report_from_before_the_order_does_not_meet_it)
{
    // The engine has been a decode one earlier and was changed since.
    change_expectations expectations;
    expectations.expect("engine-1", engine_role::decode, moment(60),
                        moment(10));
    expectations.on_report(report_of(engine_role::decode, 5), moment(20));
    BOOST_TEST(expectations.expected_role("engine-1").has_value());
}

BOOST_AUTO_TEST_CASE(a_newer_report_of_another_role_refutes_it)
{
    change_expectations expectations;
    expectations.expect("engine-1", engine_role::decode, moment(60), moment(0));
    expectations.on_finished("engine-1", moment(30));
    expectations.on_report(report_of(engine_role::mixed, 31), moment(32));
    BOOST_TEST(!expectations.expected_role("engine-1").has_value());
}

BOOST_AUTO_TEST_CASE(expiry_follows_from_deadline_and_observed_lag)
{
    for (const int lag : {1, 15})
    {
        change_expectations expectations;
        for (int second = 0; second < 100; second += 2)
            expectations.on_report(
                report_of(engine_role::prefill, second - lag), moment(second));
        expectations.expect("engine-1", engine_role::decode, moment(160),
                            moment(100));
        // Two reports in a row may be lost, at two seconds each.
        const int last = 160 + lag + 3 * 2;
        BOOST_TEST(expectations.expire(moment(last)).empty());
        BOOST_TEST(expectations.expire(moment(last + 1)).size() == 1);
        BOOST_TEST(expectations.size() == 0);
    }
}

BOOST_AUTO_TEST_CASE(a_withdrawn_change_is_not_expected)
{
    change_expectations expectations;
    expectations.expect("engine-1", engine_role::decode, moment(60), moment(0));
    expectations.withdraw("engine-1");
    BOOST_TEST(!expectations.expected_role("engine-1").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
