#include "admission/share/fake_share_hosts.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cmath>

using namespace hibiscusferry;

namespace
{

constexpr double limit = 1000;
constexpr double request_cost_here = 10;

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

/** Offers a workspace's requests at a rate over the hosts that are alive, by
    turns, and counts what is admitted. */
class offered_load
{
public:
    explicit offered_load(fake_share_hosts& hosts)
        : hosts_(hosts)
    {
    }

    /** @returns admitted tokens a second over the time
        @param rate  tokens offered a second
        @param only  the only host that gets them, or all */
    double run(int seconds, double rate, std::optional<std::size_t> only = {})
    {
        double admitted = 0;
        const int each_step =
            static_cast<int>(std::lround(rate / request_cost_here / 2));
        for (int step = 0; step < seconds * 2; ++step)
        {
            for (int index = 0; index < each_step; ++index)
            {
                const std::size_t host = only ? *only : next_host();
                if (hosts_.offer(host, "heavy", request_cost_here))
                    admitted += request_cost_here;
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
            turn_ = (turn_ + 1) % hosts_.hosts().size();
        } while (!hosts_.hosts()[turn_].alive);
        return turn_;
    }

    fake_share_hosts& hosts_;
    std::size_t turn_ = 0;
};

/** What a host that is cut off admits a second after its knowledge has
    lapsed, when it is offered four times the limit. */
double admitted_when_cut_off(bool planted_fault)
{
    fake_share_hosts hosts(8, limited_document(), 0, 4, planted_fault);
    offered_load load(hosts);
    load.run(30, 4 * limit);
    const std::size_t lone = (hosts.owner_of("heavy") + 1) % 8;
    hosts.cut_off(lone);
    load.run(30, 4 * limit);
    return load.run(30, 4 * limit, lone);
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

BOOST_AUTO_TEST_CASE(a_workspace_below_its_limit_is_not_slowed_anywhere)
{
    fake_share_hosts hosts(8, limited_document(), 0, 2);
    offered_load load(hosts);
    load.run(20, 0.8 * limit);
    BOOST_TEST(load.run(30, 0.8 * limit) >= 0.79 * limit);
    // Also when the balancer sends all of it to one host.
    load.run(20, 0.8 * limit, 3);
    BOOST_TEST(load.run(30, 0.8 * limit, 3) >= 0.79 * limit);
    BOOST_TEST(hosts.offer(0, "free", 1e9));
}

BOOST_AUTO_TEST_CASE(a_lost_home_loosens_the_limit_for_seconds_only)
{
    fake_share_hosts hosts(8, limited_document(), 0, 3);
    offered_load load(hosts);
    load.run(30, 4 * limit);
    hosts.lose(hosts.owner_of("heavy"));
    const double meanwhile = load.run(20, 4 * limit);
    BOOST_TEST(meanwhile <= 1.5 * limit);
    const double afterwards = load.run(30, 4 * limit);
    BOOST_TEST(afterwards <= 1.1 * limit);
    BOOST_TEST(afterwards >= 0.9 * limit);
}

BOOST_AUTO_TEST_CASE(a_host_that_is_cut_off_keeps_to_an_even_part)
{
    BOOST_TEST(admitted_when_cut_off(false) <= 1.1 * limit / 8);
}

BOOST_AUTO_TEST_CASE(hosts_that_do_not_know_their_number_are_found)
{
    BOOST_TEST(admitted_when_cut_off(true) > 1.1 * limit / 8);
    fake_share_hosts hosts(8, limited_document(), 1, 6, true);
    BOOST_TEST(offered_load(hosts).run(30, 8 * limit) > 1.5 * limit);
}

BOOST_AUTO_TEST_CASE(a_new_host_begins_with_an_even_part)
{
    fake_share_hosts hosts(8, limited_document(), 0, 5);
    offered_load load(hosts);
    load.run(30, 4 * limit);
    hosts.add();
    const double with_it = load.run(10, 4 * limit);
    BOOST_TEST(with_it <= 1.3 * limit);
    BOOST_TEST(load.run(30, 4 * limit) <= 1.1 * limit);
}

BOOST_AUTO_TEST_CASE(reports_that_are_repeated_or_reordered_count_once)
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
    const double once = aggregator.demand(42, now);

    share_aggregator expected("host-0", 1, time_point{});
    expected.report(second, time_point{});
    expected.tick(layout, time_point{});
    BOOST_TEST(once == expected.demand(42, now));
    BOOST_TEST(once > 0);
}

BOOST_AUTO_TEST_CASE(urgent_work_beyond_its_rate_waits_as_normal)
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
    // Five seconds' worth of its urgent rate.
    BOOST_TEST(urgent == 50);
}

BOOST_AUTO_TEST_CASE(few_hosts_change_their_relay_when_one_is_lost)
{
    std::vector<std::string> ids;
    ids.reserve(370);
    for (int index = 0; index < 370; ++index)
        ids.push_back("host-" + std::to_string(index));
    const share_layout before(ids, ids[0], ids.size());
    const std::string& lost = before.owner_of(1);
    ids.erase(std::find(ids.begin(), ids.end(), lost));
    const share_layout after(ids, ids[0], ids.size());
    int moved = 0;
    constexpr int keys = 2000;
    for (share_key key = 1; key <= keys; ++key)
    {
        const share_key mixed = combine_hashes(key, 1);
        moved += before.owner_of(mixed) != after.owner_of(mixed) ? 1 : 0;
        BOOST_TEST((before.owner_of(mixed) == lost ||
                    before.owner_of(mixed) == after.owner_of(mixed)));
    }
    BOOST_TEST(moved < keys / 20);
}

BOOST_AUTO_TEST_SUITE_END()
