#include "routing/routing.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <set>

using namespace hibiscusferry;

namespace
{

constexpr time_point start{std::chrono::hours(1)};
constexpr subset_settings small_cells{24};

std::vector<std::string> make_ids(const std::string& kind, std::size_t count)
{
    std::vector<std::string> ids;
    ids.reserve(count);
    for (std::size_t index = 0; index < count; ++index)
        ids.push_back(kind + std::to_string(index));
    return ids;
}

std::vector<target_address> make_addresses(std::size_t count)
{
    std::vector<target_address> targets;
    targets.reserve(count);
    for (std::size_t index = 0; index < count; ++index)
    {
        targets.push_back({"t" + std::to_string(index),
                           "zone-" + std::to_string(index % 3), "10.0.0.1",
                           static_cast<std::uint16_t>(index + 1), false});
    }
    return targets;
}

target_table make_table(std::size_t count)
{
    target_table table("router0", {});
    table.set_targets({"router0"}, make_addresses(count), start);
    return table;
}

load_report make_report(target_state state, std::uint64_t prefill,
                        std::uint32_t streams)
{
    load_report report;
    report.state = state;
    report.waiting_prefill_tokens = prefill;
    report.active_streams = streams;
    return report;
}

} // namespace

BOOST_AUTO_TEST_SUITE(targets_test)

BOOST_AUTO_TEST_CASE(every_target_is_in_one_cell_and_cells_are_balanced)
{
    const std::vector<std::string> routers = make_ids("router", 370);
    const std::vector<target_address> targets = make_addresses(123);
    std::map<std::vector<std::size_t>, int> cells;
    for (const std::string& router : routers)
        ++cells[choose_target_subset(routers, router, targets, 0, small_cells)];
    BOOST_TEST(cells.size() == 5);
    std::set<std::size_t> covered;
    for (auto cell = cells.begin(); cell != cells.end(); ++cell)
    {
        BOOST_TEST(cell->second == 74);
        BOOST_TEST(cell->first.size() >= 22);
        BOOST_TEST(cell->first.size() <= 27);
        covered.insert(cell->first.begin(), cell->first.end());
    }
    BOOST_TEST(covered.size() == targets.size());
    BOOST_TEST(
        choose_target_subset(routers, routers[0], targets, 1, small_cells)
            .size() > 44);
}

BOOST_AUTO_TEST_CASE(few_targets_change_cells_when_one_is_removed)
{
    const std::vector<std::string> routers = make_ids("router", 370);
    std::vector<target_address> targets = make_addresses(123);
    std::set<std::string> before;
    for (const std::size_t index :
         choose_target_subset(routers, routers[0], targets, 0, small_cells))
        before.insert(targets[index].id);
    targets.erase(targets.begin() + 40);
    int added = 0;
    for (const std::size_t index :
         choose_target_subset(routers, routers[0], targets, 0, small_cells))
        added += before.count(targets[index].id) == 0 ? 1 : 0;
    BOOST_TEST(added <= 3);
}

BOOST_AUTO_TEST_CASE(own_attempts_are_added_to_an_older_report)
{
    target_table table = make_table(3);
    table.attempt_started("t0", "a", 1000, start);
    BOOST_TEST(table.find("t0")->load.prefill_tokens == 1000);
    // The report was measured before the attempt was sent.
    table.report("t0", make_report(target_state::serving, 500, 2),
                 start - std::chrono::milliseconds(10),
                 start + std::chrono::milliseconds(20));
    BOOST_TEST(table.find("t0")->load.prefill_tokens == 1500);
    BOOST_TEST(table.find("t0")->load.streams == 3);
    // The report was measured after it; the attempt is not counted twice.
    const time_point later = start + std::chrono::seconds(1);
    table.report("t0", make_report(target_state::serving, 1400, 3), later,
                 later);
    BOOST_TEST(table.find("t0")->load.prefill_tokens == 1400);
    // An attempt that the report includes and that has progressed since is
    // subtracted.
    table.attempt_prefilled("t0", "a", later + std::chrono::milliseconds(1));
    BOOST_TEST(table.find("t0")->load.prefill_tokens == 400);
    table.attempt_ended("t0", "a", later + std::chrono::milliseconds(2));
    BOOST_TEST(table.find("t0")->load.streams == 2);
    // An older report that arrives late is ignored.
    table.report("t0", make_report(target_state::serving, 9, 9), start, later);
    BOOST_TEST(table.find("t0")->load.streams == 2);
}

BOOST_AUTO_TEST_CASE(a_leaving_target_receives_no_new_work_while_the_list_lags)
{
    target_table table = make_table(3);
    table.attempt_started("t1", "a", 10, start);
    table.refused("t1", target_state::leaving, start);
    const time_point later = start + std::chrono::minutes(1);
    table.set_targets({"router0"}, make_addresses(3), later);
    table.report("t1", make_report(target_state::serving, 0, 0), later, later);
    BOOST_TEST(!table.can_take_work(*table.find("t1"), later));
    // The attempt in flight at the target continues.
    BOOST_TEST(table.in_flight("t1") == 1);
    std::vector<target_address> without = make_addresses(3);
    without.erase(without.begin() + 1);
    BOOST_TEST(table.set_targets({"router0"}, without, later).size() == 1);
    BOOST_TEST(table.in_flight("t1") == 1);
    table.attempt_ended("t1", "a", later);
    table.set_targets({"router0"}, without, later);
    BOOST_TEST(table.find("t1") == nullptr);
}

BOOST_AUTO_TEST_CASE(a_changing_target_waits_for_its_own_report)
{
    target_table table = make_table(3);
    table.refused("t1", target_state::changing, start);
    const time_point later = start + std::chrono::seconds(20);
    BOOST_TEST(!table.can_take_work(*table.find("t1"), later));
    table.report("t1", make_report(target_state::serving, 0, 0), later, later);
    BOOST_TEST(table.can_take_work(*table.find("t1"), later));
}

BOOST_AUTO_TEST_CASE(failures_quarantine_a_target_until_a_probe_succeeds)
{
    target_table table = make_table(3);
    time_point now = start;
    table.targets_due_for_poll(now);
    BOOST_TEST(!table.attempt_failed("t2", now));
    BOOST_TEST((table.find("t2")->health == target_health::suspect));
    table.attempt_failed("t2", now);
    BOOST_TEST(table.attempt_failed("t2", now));
    BOOST_TEST(!table.can_take_work(*table.find("t2"), now));
    now += std::chrono::milliseconds(499);
    BOOST_TEST(table.targets_due_for_poll(now).empty());
    now += std::chrono::milliseconds(1);
    BOOST_TEST(table.targets_due_for_poll(now).size() == 1);
    BOOST_TEST(!table.attempt_failed("t2", now));
    now += std::chrono::milliseconds(999);
    const std::vector<std::string> early = table.targets_due_for_poll(now);
    BOOST_TEST(std::count(early.begin(), early.end(), "t2") == 0);
    now += std::chrono::milliseconds(1);
    const std::vector<std::string> due = table.targets_due_for_poll(now);
    BOOST_TEST(std::count(due.begin(), due.end(), "t2") == 1);
    table.report("t2", make_report(target_state::serving, 0, 0), now, now);
    BOOST_TEST(table.can_take_work(*table.find("t2"), now));
}

BOOST_AUTO_TEST_CASE(loads_are_polled_in_turn_within_the_budget)
{
    target_table table = make_table(60);
    time_point now = start;
    // New targets are polled immediately, since their role is not known.
    std::size_t new_targets = table.targets_due_for_poll(now).size();
    new_targets += table.targets_due_for_poll(now).size();
    BOOST_TEST(new_targets == 60);

    std::map<std::string, int> polled;
    std::size_t total = 0;
    for (int step = 0; step < 400; ++step)
    {
        now += std::chrono::milliseconds(100);
        for (const std::string& id : table.targets_due_for_poll(now))
        {
            ++polled[id];
            ++total;
        }
    }
    // Three polls a second for forty seconds.
    BOOST_TEST(total <= 123);
    BOOST_TEST(polled.size() == 60);
    for (auto entry = polled.begin(); entry != polled.end(); ++entry)
        BOOST_TEST((entry->second >= 1 && entry->second <= 3));
    table.poll_soon("t7", start);
    now += std::chrono::milliseconds(400);
    BOOST_TEST(table.targets_due_for_poll(now).front() == "t7");
}

BOOST_AUTO_TEST_CASE(a_missing_role_adds_another_cell)
{
    const std::vector<std::string> routers = make_ids("router", 4);
    target_table_settings settings;
    settings.subset = small_cells;
    target_table table("router0", settings);
    table.set_targets(routers, make_addresses(96), start);
    const std::size_t own_count = table.targets().size();
    load_report decode = make_report(target_state::serving, 0, 0);
    decode.role = target_role::decode;
    for (const std::string& id : make_ids("t", 96))
        table.report(id, decode, start, start);
    BOOST_TEST(table.is_missing_role(start));
    table.set_targets(routers, make_addresses(96), start);
    BOOST_TEST(table.targets().size() > own_count);
}

BOOST_AUTO_TEST_SUITE_END()
