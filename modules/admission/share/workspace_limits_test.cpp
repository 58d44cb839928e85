#include "admission/share/fake_share_hosts.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cmath>

using namespace hibiscusferry;

namespace
{

constexpr double limit = 1000;
constexpr double cost_per_request = 10;

service_document limited_document()
{
    service_document document;
    document.service = "lunch-assistant";
    workspace_entry heavy;
    heavy.name = "heavy";
    heavy.tokens_per_second = limit;
    document.workspaces.push_back(heavy);
    workspace_entry free;
    free.name = "free";
    document.workspaces.push_back(free);
    return document;
}

/** Offers a workspace's requests at a constant rate to the live hosts in round
    robin and measures the admitted rate. */
class offered_load
{
public:
    explicit offered_load(fake_share_hosts& hosts)
        : hosts_(hosts)
    {
    }

    /** @param rate  tokens offered per second
        @param only  the only host that receives the requests; all live hosts
                     if not set
        @returns the admitted tokens per second */
    double run(int seconds, double rate, std::optional<std::size_t> only = {})
    {
        double admitted = 0;
        const int each_step =
            static_cast<int>(std::lround(rate / cost_per_request / 2));
        for (int step = 0; step < seconds * 2; ++step)
        {
            for (int index = 0; index < each_step; ++index)
            {
                const std::size_t host = only ? *only : next_host();
                if (hosts_.offer(host, "heavy", cost_per_request))
                    admitted += cost_per_request;
            }
            hosts_.step();
        }
        return admitted / seconds;
    }

private:
    std::size_t next_host()
    {
        do
        {
            last_host_ = (last_host_ + 1) % hosts_.hosts().size();
        } while (!hosts_.hosts()[last_host_].alive);
        return last_host_;
    }

    fake_share_hosts& hosts_;
    std::size_t last_host_ = 0;
};

/** Returns the tokens per second admitted by a host that is cut off from the
    others and offered four times the limit, after its demand has expired. */
double admitted_when_cut_off(bool injected_fault)
{
    fake_share_hosts hosts(8, limited_document(), 0, 4, injected_fault);
    offered_load load(hosts);
    load.run(30, 4 * limit);
    const std::size_t isolated_host = (hosts.owner_of("heavy") + 1) % 8;
    hosts.cut_off(isolated_host);
    load.run(30, 4 * limit);
    return load.run(30, 4 * limit, isolated_host);
}

} // namespace

BOOST_AUTO_TEST_SUITE(workspace_limits_test)

BOOST_AUTO_TEST_CASE(a_limit_holds_over_all_hosts)
{
    fake_share_hosts hosts(8, limited_document(), 0.02, 1);
    offered_load load(hosts);
    load.run(20, 4 * limit);
    const double admitted = load.run(60, 4 * limit);
    BOOST_TEST(admitted <= 1.1 * limit);
    BOOST_TEST(admitted >= 0.9 * limit);
}

BOOST_AUTO_TEST_CASE(a_workspace_below_its_limit_is_not_limited_on_any_host)
{
    fake_share_hosts hosts(8, limited_document(), 0, 2);
    offered_load load(hosts);
    load.run(20, 0.8 * limit);
    BOOST_TEST(load.run(30, 0.8 * limit) >= 0.79 * limit);
    // The same holds if the load balancer sends all requests to one host.
    load.run(20, 0.8 * limit, 3);
    BOOST_TEST(load.run(30, 0.8 * limit, 3) >= 0.79 * limit);
    BOOST_TEST(hosts.offer(0, "free", 1e9));
}

BOOST_AUTO_TEST_CASE(a_crashed_owner_loosens_the_limit_only_for_seconds)
{
    fake_share_hosts hosts(8, limited_document(), 0, 3);
    offered_load load(hosts);
    load.run(30, 4 * limit);
    hosts.crash(hosts.owner_of("heavy"));
    const double rate_during_failover = load.run(20, 4 * limit);
    BOOST_TEST(rate_during_failover <= 1.5 * limit);
    const double rate_after_failover = load.run(30, 4 * limit);
    BOOST_TEST(rate_after_failover <= 1.1 * limit);
    BOOST_TEST(rate_after_failover >= 0.9 * limit);
}

BOOST_AUTO_TEST_CASE(a_host_that_is_cut_off_applies_an_even_share)
{
    BOOST_TEST(admitted_when_cut_off(false) <= 1.1 * limit / 8);
}

BOOST_AUTO_TEST_CASE(hosts_with_a_wrong_host_count_exceed_the_limit)
{
    BOOST_TEST(admitted_when_cut_off(true) > 1.1 * limit / 8);
    fake_share_hosts hosts(8, limited_document(), 1, 6, true);
    BOOST_TEST(offered_load(hosts).run(30, 8 * limit) > 1.5 * limit);
}

BOOST_AUTO_TEST_CASE(a_new_host_starts_with_an_even_share)
{
    fake_share_hosts hosts(8, limited_document(), 0, 5);
    offered_load load(hosts);
    load.run(30, 4 * limit);
    hosts.add();
    const double rate_with_new_host = load.run(10, 4 * limit);
    BOOST_TEST(rate_with_new_host <= 1.3 * limit);
    BOOST_TEST(load.run(30, 4 * limit) <= 1.1 * limit);
}

BOOST_AUTO_TEST_CASE(duplicated_or_reordered_reports_count_once)
{
    share_aggregator aggregator("host-0", 1, time_point{});
    const share_layout layout({"host-0"}, "host-0", 1);
    time_point now{};
    usage_report first{"host-1", 7, 1, false, {{42, 100, 0, true}}};
    usage_report second{"host-1", 7, 2, false, {{42, 300, 100, true}}};
    aggregator.report(second, now);
    aggregator.report(first, now);
    aggregator.report(second, now);
    aggregator.tick(layout, now);
    now += std::chrono::seconds(1);
    const double demand_from_duplicates = aggregator.demand(42, now);

    share_aggregator expected("host-0", 1, time_point{});
    expected.report(second, time_point{});
    expected.tick(layout, time_point{});
    BOOST_TEST(demand_from_duplicates == expected.demand(42, now));
    BOOST_TEST(demand_from_duplicates > 0);
}

BOOST_AUTO_TEST_CASE(urgent_requests_beyond_their_rate_are_queued_as_normal)
{
    service_document document = limited_document();
    document.workspaces[0].urgent_tokens_per_second = 100;
    workspace_limits limits("host-0", 1, time_point{});
    limits.configure(document, time_point{});
    int urgent = 0;
    for (int index = 0; index < 200; ++index)
    {
        const limit_decision decision = limits.admit(
            "lunch-assistant", "heavy", queue_lane::urgent, 10, time_point{});
        BOOST_TEST(decision.admitted);
        urgent += decision.lane == queue_lane::urgent ? 1 : 0;
    }
    // The bucket holds the tokens of the urgent rate for five seconds.
    BOOST_TEST(urgent == 50);
}

BOOST_AUTO_TEST_CASE(few_limits_change_their_owner_when_a_host_is_lost)
{
    std::vector<std::string> ids;
    ids.reserve(370);
    for (int index = 0; index < 370; ++index)
        ids.push_back("host-" + std::to_string(index));
    const share_layout before(ids, ids[0], ids.size());
    const std::string& crashed_host = before.owner_of(1);
    ids.erase(std::find(ids.begin(), ids.end(), crashed_host));
    const share_layout after(ids, ids[0], ids.size());
    int moved_keys = 0;
    constexpr int keys = 2000;
    for (share_key key = 1; key <= keys; ++key)
    {
        const share_key mixed = combine_hashes(key, 1);
        moved_keys += before.owner_of(mixed) != after.owner_of(mixed) ? 1 : 0;
        BOOST_TEST((before.owner_of(mixed) == crashed_host ||
                    before.owner_of(mixed) == after.owner_of(mixed)));
    }
    BOOST_TEST(moved_keys < keys / 20);
}

BOOST_AUTO_TEST_SUITE_END()
