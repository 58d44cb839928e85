#include "sharing/sharing.hpp"
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

namespace hibiscusferry
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

time_point at(std::int64_t milliseconds_since_start)
{
    return time_point(std::chrono::hours(5)) +
           milliseconds(milliseconds_since_start);
}

usage_host_report report_of(const std::string& host, std::uint64_t window,
                            const workspace_counts& counts, bool is_final)
{
    usage_host_report report;
    report.host = host;
    report.incarnation = 1;
    report.window = window;
    report.counts = counts;
    report.is_final = is_final;
    return report;
}

} // namespace

BOOST_AUTO_TEST_SUITE(usage_tests)

BOOST_AUTO_TEST_CASE(requests_are_counted_in_the_window_in_which_they_began)
{
    usage_counter counter(seconds(5));
    counter.count("w1", fleet_time(9999));
    counter.count("w1", fleet_time(10000));
    counter.count("w1", fleet_time(14999));
    counter.count("w2", fleet_time(14999));
    BOOST_TEST(counter.windows().at(1).at("w1") == 1U);
    BOOST_TEST(counter.windows().at(2).at("w1") == 2U);
    BOOST_TEST(counter.windows().at(2).at("w2") == 1U);
    BOOST_TEST(counter.end_of(2).count() == 15000);
    counter.forget_before(2);
    BOOST_TEST(counter.windows().size() == 1U);
}

// Guards against counts that are lost or counted twice when messages are lost,
// repeated and overtaken, and when a process is restarted within a window.
BOOST_AUTO_TEST_CASE(repeated_and_late_reports_count_once)
{
    usage_collector collector;
    collector.apply(report_of("a", 7, {{"w1", 3}}, false), at(0));
    collector.apply(report_of("a", 7, {{"w1", 5}}, true), at(1));
    collector.apply(report_of("a", 7, {{"w1", 5}}, true), at(2));
    collector.apply(report_of("a", 7, {{"w1", 4}}, false), at(3));
    collector.apply(report_of("b", 7, {{"w1", 1}, {"w2", 2}}, false), at(4));
    BOOST_TEST(collector.merge(7).at("w1") == 6U);
    BOOST_TEST(collector.missing_hosts(7, {"a", "b"}) == 1U);
    usage_host_report restarted = report_of("b", 7, {{"w1", 2}}, true);
    restarted.incarnation = 2;
    collector.apply(restarted, at(5));
    BOOST_TEST(collector.merge(7).at("w1") == 8U);
    BOOST_TEST(collector.missing_hosts(7, {"a", "b"}) == 0U);
    BOOST_TEST(collector.missing_hosts(7, {"a", "b", "c"}) == 1U);
    collector.forget_before(8, at(6));
    collector.apply(report_of("a", 7, {{"w1", 5}}, true), at(6));
    BOOST_TEST(collector.merge(7).empty());
}

// Guards against a report that is merged before all its parts have arrived.
BOOST_AUTO_TEST_CASE(report_of_many_workspaces_is_split_and_merged)
{
    workspace_counts counts;
    constexpr std::size_t workspaces = 500;
    for (std::size_t index = 0; index < workspaces; ++index)
        counts["workspace-" + std::to_string(index)] = index + 1;
    const std::vector<usage_host_report> parts =
        split_report(report_of("a", 7, counts, true));
    BOOST_TEST(parts.size() > 1U);
    usage_collector collector;
    for (const usage_host_report& part : parts)
    {
        BOOST_TEST(collector.missing_hosts(7, {"a"}) == 1U);
        const std::string bytes = encode_usage_report(part);
        BOOST_TEST(bytes.size() <= 1400U);
        collector.apply(decode_usage_report(bytes).value(), at(0));
    }
    BOOST_TEST(collector.missing_hosts(7, {"a"}) == 0U);
    BOOST_TEST((collector.merge(7) == counts));
    BOOST_TEST(split_report(report_of("a", 7, {}, true)).size() == 1U);
}

BOOST_AUTO_TEST_CASE(messages_survive_encoding_and_others_are_rejected)
{
    usage_host_report report =
        report_of("front-1", 353445120, {{"w", 9}}, true);
    report.number = 12;
    report.time_of_day = fleet_time(1767225600123);
    report.is_relayed = true;
    const std::string bytes = encode_usage_report(report);
    BOOST_TEST(is_usage_message(bytes));
    const usage_host_report decoded = decode_usage_report(bytes).value();
    BOOST_TEST(decoded.host == "front-1");
    BOOST_TEST(decoded.window == 353445120U);
    BOOST_TEST(decoded.time_of_day.count() == 1767225600123);
    BOOST_TEST(decoded.is_final);
    BOOST_TEST(decoded.is_relayed);
    BOOST_TEST(decoded.counts.at("w") == 9U);
    BOOST_TEST(!decode_usage_acknowledgement(bytes));

    const std::string answer =
        encode_usage_acknowledgement({5, 12, fleet_time(77), 8});
    BOOST_TEST(
        decode_usage_acknowledgement(answer).value().agreed_time.count() == 77);
    BOOST_TEST(!decode_usage_report(answer));
    BOOST_TEST(rc::check(
        [&bytes, &answer](const std::string& noise, std::uint16_t cut)
        {
            static_cast<void>(decode_usage_report(noise));
            static_cast<void>(decode_usage_acknowledgement(noise));
            const std::string cut_report = bytes.substr(0, cut % bytes.size());
            RC_ASSERT(!decode_usage_report(cut_report));
            const std::string cut_answer =
                answer.substr(0, cut % answer.size());
            RC_ASSERT(!decode_usage_acknowledgement(cut_answer));
        }));
}

// Guards against windows that shift with the clock of a single host.
BOOST_AUTO_TEST_CASE(clocks_of_a_minority_do_not_change_the_agreed_time)
{
    usage_collector collector;
    for (int host = 0; host < 10; ++host)
    {
        usage_host_report report =
            report_of("h" + std::to_string(host), 7, {}, false);
        const std::int64_t error = host < 4 ? 2400 : host % 3 - 1;
        report.time_of_day = fleet_time(1000000 + error);
        collector.apply(report, at(0));
    }
    const std::int64_t agreed = collector.agreed_time(1, at(500))->count();
    BOOST_TEST(std::abs(agreed - 1000500) <= 2);
    // A new collector has heard from too few hosts.
    BOOST_TEST(!collector.agreed_time(11, at(500)));
    usage_host_report late = report_of("h9", 7, {}, false);
    late.time_of_day = fleet_time(1);
    collector.apply(late, at(600), false);
    BOOST_TEST(collector.agreed_time(1, at(600))->count() == agreed + 100);
    BOOST_TEST(!collector.agreed_time(1, at(20000)));
    BOOST_TEST(!usage_collector().agreed_time(1, at(0)));
}

BOOST_AUTO_TEST_CASE(host_follows_the_agreed_time)
{
    fleet_clock clock(fleet_time(500000), at(0));
    BOOST_TEST(clock.time(at(100)).count() == 500100);
    BOOST_TEST(!clock.is_synchronized());
    clock.synchronize(fleet_time(600000), at(1000), at(1010));
    BOOST_TEST(clock.time(at(1005)).count() == 600000);
    // A delayed response says little about the time.
    clock.synchronize(fleet_time(600500), at(2000), at(2900));
    BOOST_TEST(clock.time(at(2005)).count() == 601000);
    BOOST_TEST(clock.is_synchronized());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hibiscusferry
