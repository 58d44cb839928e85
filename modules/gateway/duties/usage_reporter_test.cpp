#include "gateway/gateway.hpp"
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <set>

namespace hibiscusferry
{

namespace
{

using std::chrono::milliseconds;

constexpr std::int64_t window_ms = 5000;
/** The end of window 99. */
constexpr std::int64_t start_ms = 500000;

class fake_protocol final : public duty_protocol
{
public:
    std::string encode_report(const window_usage& report) const override
    {
        std::string body = std::to_string(report.window);
        for (const auto& [workspace, requests] : report.requests)
            body += " " + workspace + "=" + std::to_string(requests);
        return body;
    }
    http_request write_report(const std::string&,
                              const duty_authority&) const override
    {
        return {};
    }
    http_request write_order(const capacity_order&,
                             const duty_authority&) const override
    {
        return {};
    }
    duty_result read_response(unsigned) const override
    {
        return duty_result::accepted;
    }
};

class fake_counts final : public usage_reporter::source
{
public:
    std::size_t missing_hosts(std::uint64_t) const override
    {
        return missing;
    }
    workspace_counts merge(std::uint64_t window) const override
    {
        return {{"w", window + bias}};
    }

    std::size_t missing = 0;
    /** Makes the counts of two hosts differ. */
    std::uint64_t bias = 0;
};

/** The receiver of reports, which checks that a window has one report. */
struct receiver
{
    void accept(const std::string& body)
    {
        const std::string window = body.substr(0, body.find(' '));
        const auto [entry, is_new] = reports.try_emplace(window, body);
        has_conflict = has_conflict || (!is_new && entry->second != body);
    }

    std::map<std::string, std::string> reports;
    bool has_conflict = false;
};

/** A host that may hold the authority. */
struct holder
{
    explicit holder(std::uint64_t bias)
    {
        counts.bias = bias;
    }

    usage_report_timing timing{milliseconds(window_ms),
                               milliseconds(2 * window_ms)};
    fake_protocol protocol;
    fake_counts counts;
    usage_reporter reporter{timing, protocol, counts};
    std::optional<std::uint64_t> term;
    std::uint64_t terms = 0;
    row_version fence = 0;
    bool is_first = false;
};

struct fleet
{
    usage_reporter::situation situation_of(const holder& host) const
    {
        usage_reporter::situation current;
        current.now = time_point(milliseconds(now_ms));
        current.agreed_time = fleet_time(now_ms);
        current.term = host.term;
        current.is_first_holder = host.is_first;
        current.replacement_conditions = {{"fences/f", host.fence}};
        current.era = table.era();
        if (era_began_ms)
            current.era_began_at = fleet_time(*era_began_ms);
        return current;
    }

    void appoint(holder& host, bool is_first = false)
    {
        table_transaction write;
        write.writes.push_back({"fences/f", std::string("x")});
        host.fence = table.commit(write).version;
        host.term = ++host.terms;
        host.is_first = is_first;
    }

    static void depose(holder& host)
    {
        host.term.reset();
    }

    /** Performs one step of a holder.
        @param loses_response  the response of the store or receiver is lost
        @returns whether there was anything to do */
    bool step(holder& host, bool loses_response = false)
    {
        const time_point now{milliseconds(now_ms)};
        const usage_reporter::step next =
            host.reporter.next_step(situation_of(host));
        if (next.reads_rows)
            host.reporter.rows_read(
                loses_response ? result<std::vector<table_row>>(make_error_code(
                                     platform_error::outcome_unknown))
                               : table.scan(usage_reporter::row_prefix,
                                            next.after_row, 100),
                now);
        else if (next.commit)
        {
            const commit_receipt receipt = table.commit(*next.commit);
            host.reporter.commit_finished(
                loses_response ? result<commit_receipt>(make_error_code(
                                     platform_error::outcome_unknown))
                               : result<commit_receipt>(receipt),
                now);
        }
        else if (next.body)
        {
            target.accept(*next.body);
            host.reporter.call_finished(
                loses_response ? std::nullopt
                               : std::optional(duty_result::accepted),
                now);
        }
        else
            return false;
        return true;
    }

    void run(holder& host, std::int64_t duration_ms)
    {
        const std::int64_t end_ms = now_ms + duration_ms;
        while (now_ms < end_ms)
        {
            while (step(host))
            {
            }
            now_ms += 100;
        }
    }

    memory_table table;
    receiver target;
    std::int64_t now_ms = start_ms;
    std::optional<std::int64_t> era_began_ms;
};

} // namespace

BOOST_AUTO_TEST_SUITE(usage_reporter_tests)

BOOST_AUTO_TEST_CASE(each_window_is_reported_soon_after_its_end)
{
    fleet hosts;
    holder first(0);
    hosts.appoint(first, true);
    hosts.run(first, 4 * window_ms + 1000);
    BOOST_TEST(hosts.target.reports.size() == 4U);
    BOOST_TEST(hosts.target.reports.at("103") == "103 w=103");
    BOOST_TEST(first.reporter.first_open_window() == 104U);
}

// Guards against a window that is never reported because a host has died.
BOOST_AUTO_TEST_CASE(missing_hosts_delay_a_report_but_not_beyond_its_time)
{
    fleet hosts;
    holder first(0);
    first.counts.missing = 1;
    hosts.appoint(first, true);
    hosts.run(first, window_ms + 5900);
    BOOST_TEST(hosts.target.reports.empty());
    hosts.run(first, 300);
    BOOST_TEST(hosts.target.reports.size() == 1U);
}

// Guards against windows that are skipped when the lease of the first holder
// lapses and is renewed.
BOOST_AUTO_TEST_CASE(holder_that_was_out_of_contact_reports_all_windows)
{
    fleet hosts;
    holder first(0);
    hosts.appoint(first, true);
    hosts.run(first, window_ms + 1000);
    fleet::depose(first);
    hosts.run(first, 2 * window_ms);
    first.term = first.terms;
    hosts.run(first, 6000);
    BOOST_TEST(hosts.target.reports.count("101") == 1U);
    BOOST_TEST(hosts.target.reports.count("102") == 1U);
}

// Guards against an incomplete report by a holder that has just been appointed.
BOOST_AUTO_TEST_CASE(new_holder_waits_for_the_counts_of_the_hosts)
{
    fleet hosts;
    holder first(0);
    first.counts.missing = 1;
    hosts.table.commit({});
    hosts.appoint(first);
    hosts.run(first, 3500);
    BOOST_TEST(hosts.target.reports.empty());
    hosts.run(first, 1000);
    BOOST_TEST(!hosts.target.reports.empty());
}

// Guards against two different reports of a window when the holder is replaced
// after a write whose response was lost.
BOOST_AUTO_TEST_CASE(successor_repeats_the_report_of_its_predecessor)
{
    fleet hosts;
    holder first(0);
    holder second(1000);
    hosts.appoint(first, true);
    while (hosts.step(first))
    {
    }
    hosts.now_ms += window_ms + 1000;
    hosts.step(first, true);
    fleet::depose(first);
    hosts.appoint(second);
    hosts.run(second, 1000);
    BOOST_REQUIRE(hosts.target.reports.count("100") == 1U);
    BOOST_TEST(hosts.target.reports.at("100") == "100 w=100");
    BOOST_TEST(!hosts.target.has_conflict);
}

// Guards against a holder that was replaced and goes on recording.
BOOST_AUTO_TEST_CASE(write_of_a_former_holder_has_no_effect)
{
    fleet hosts;
    holder first(0);
    holder second(1000);
    hosts.appoint(first, true);
    while (hosts.step(first))
    {
    }
    hosts.appoint(second);
    hosts.now_ms += window_ms + 1000;
    // The first host does not know yet that it has been replaced.
    hosts.step(first);
    BOOST_TEST(
        !hosts.table.read(usage_reporter::row_prefix + std::string("100")));
    hosts.run(second, 1000);
    BOOST_TEST(hosts.target.reports.at("100") == "100 w=1100");
}

// Guards against a second report of a window whose row the store has forgotten.
BOOST_AUTO_TEST_CASE(window_that_ended_before_an_era_is_not_reported_anew)
{
    fleet hosts;
    holder first(0);
    holder second(1000);
    hosts.appoint(first, true);
    const memory_table copy = hosts.table;
    hosts.run(first, window_ms + 1000);
    BOOST_TEST(hosts.target.reports.size() == 1U);
    hosts.table.restore(copy);
    hosts.era_began_ms = hosts.now_ms;
    fleet::depose(first);
    hosts.appoint(second);
    hosts.run(second, 2 * window_ms);
    BOOST_TEST(!hosts.target.has_conflict);
    BOOST_TEST(hosts.target.reports.count("101") == 1U);

    // The host that recorded a window knows its report.
    hosts.table.restore(copy);
    hosts.era_began_ms = hosts.now_ms;
    fleet::depose(second);
    hosts.appoint(first);
    hosts.run(first, window_ms);
    BOOST_TEST(!hosts.target.has_conflict);
}

// Guards against two reports of a window under any order of takeovers, lost
// responses and restores of the store.
BOOST_AUTO_TEST_CASE(no_window_has_two_reports)
{
    BOOST_TEST(rc::check(
        [](const std::vector<unsigned char>& moves)
        {
            fleet hosts;
            std::vector<std::unique_ptr<holder>> members;
            constexpr std::uint64_t hosts_count = 3;
            for (std::uint64_t index = 0; index < hosts_count; ++index)
                members.push_back(std::make_unique<holder>(1000 * index));
            hosts.appoint(*members[0], true);
            memory_table copy = hosts.table;
            std::size_t current = 0;
            for (const unsigned char move : moves)
            {
                switch (move % 8)
                {
                case 0:
                    // The former holder may not have noticed.
                    if (move % 16 == 0)
                        fleet::depose(*members[current]);
                    current = (move / 16) % members.size();
                    hosts.appoint(*members[current]);
                    break;
                case 1:
                    hosts.step(*members[current], true);
                    break;
                case 2:
                    copy = hosts.table;
                    break;
                case 3:
                    hosts.table.restore(copy);
                    hosts.era_began_ms = hosts.now_ms;
                    for (const std::unique_ptr<holder>& member : members)
                        fleet::depose(*member);
                    hosts.appoint(*members[current]);
                    break;
                case 5:
                    // The process of a host is replaced by a new one.
                    if (move % 32 == 5)
                        members[(move / 32) % members.size()] =
                            std::make_unique<holder>(3000 + move);
                    break;
                case 4:
                    hosts.now_ms += 1000 + move * 10;
                    break;
                default:
                    for (const std::unique_ptr<holder>& member : members)
                        hosts.step(*member);
                }
                RC_ASSERT(!hosts.target.has_conflict);
            }
        }));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hibiscusferry
