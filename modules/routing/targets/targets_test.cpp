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

std::vector<std::string> names(const std::string& kind, std::size_t count)
{
    std::vector<std::string> ids;
    ids.reserve(count);
    for (std::size_t index = 0; index < count; ++index)
        ids.push_back(kind + std::to_string(index));
    return ids;
}

std::vector<target_address> addresses(std::size_t count)
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

target_table table_of(std::size_t count)
{
    target_table table("router0", {});
    table.set_targets({"router0"}, addresses(count), start);
    return table;
}

load_report report_of(target_state state, std::uint64_t prefill,
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
    const std::vector<std::string> routers = names("router", 370);
    const std::vector<target_address> targets = addresses(123);
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

BOOST_AUTO_TEST_CASE(few_targets_change_cells_when_one_goes)
{
    const std::vector<std::string> routers = names("router", 370);
    std::vector<target_address> targets = addresses(123);
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

BOOST_AUTO_TEST_CASE(own_work_is_added_to_a_report_that_is_older)
{
    target_table table = table_of(3);
    table.attempt_started("t0", "a", 1000, start);
    BOOST_TEST(table.find("t0")->load.prefill_tokens == 1000);
    // Measured before the attempt was sent.
    table.report("t0", report_of(target_state::serving, 500, 2),
                 start - std::chrono::milliseconds(10),
                 start + std::chrono::milliseconds(20));
    BOOST_TEST(table.find("t0")->load.prefill_tokens == 1500);
    BOOST_TEST(table.find("t0")->load.streams == 3);
    // Measured after it: not counted twice.
    const time_point later = start + std::chrono::seconds(1);
    table.report("t0", report_of(target_state::serving, 1400, 3), later, later);
    BOOST_TEST(table.find("t0")->load.prefill_tokens == 1400);
    // What it counted and has moved on is taken off.
    table.attempt_prefilled("t0", "a", later + std::chrono::milliseconds(1));
    BOOST_TEST(table.find("t0")->load.prefill_tokens == 400);
    table.attempt_ended("t0", "a", later + std::chrono::milliseconds(2));
    BOOST_TEST(table.find("t0")->load.streams == 2);
    // An old report that arrives late changes nothing.
    table.report("t0", report_of(target_state::serving, 9, 9), start, later);
    BOOST_TEST(table.find("t0")->load.streams == 2);
}

BOOST_AUTO_TEST_CASE(a_leaving_target_gets_no_new_work_though_the_list_lags)
{
    target_table table = table_of(3);
    table.attempt_started("t1", "a", 10, start);
    table.refused("t1", target_state::leaving, start);
    const time_point later = start + std::chrono::minutes(1);
    table.set_targets({"router0"}, addresses(3), later);
    table.report("t1", report_of(target_state::serving, 0, 0), later, later);
    BOOST_TEST(!table.can_take_work(*table.find("t1"), later));
    // What runs there finishes.
    BOOST_TEST(table.in_flight("t1") == 1);
    std::vector<target_address> without = addresses(3);
    without.erase(without.begin() + 1);
    BOOST_TEST(table.set_targets({"router0"}, without, later).size() == 1);
    BOOST_TEST(table.in_flight("t1") == 1);
    table.attempt_ended("t1", "a", later);
    table.set_targets({"router0"}, without, later);
    BOOST_TEST(table.find("t1") == nullptr);
}

BOOST_AUTO_TEST_CASE(a_changing_target_waits_for_its_own_report)
{
    target_table table = table_of(3);
    table.refused("t1", target_state::changing, start);
    const time_point later = start + std::chrono::seconds(20);
    BOOST_TEST(!table.can_take_work(*table.find("t1"), later));
    table.report("t1", report_of(target_state::serving, 0, 0), later, later);
    BOOST_TEST(table.can_take_work(*table.find("t1"), later));
}

BOOST_AUTO_TEST_CASE(failures_take_a_target_out_until_a_probe_passes)
{
    target_table table = table_of(3);
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
    table.report("t2", report_of(target_state::serving, 0, 0), now, now);
    BOOST_TEST(table.can_take_work(*table.find("t2"), now));
}

BOOST_AUTO_TEST_CASE(loads_are_asked_for_by_turns_within_the_budget)
{
    target_table table = table_of(60);
    time_point now = start;
    // New ones are asked at once, since their role is not known.
    std::size_t fresh = table.targets_due_for_poll(now).size();
    fresh += table.targets_due_for_poll(now).size();
    BOOST_TEST(fresh == 60);

    std::map<std::string, int> asked;
    std::size_t total = 0;
    for (int step = 0; step < 400; ++step)
    {
        now += std::chrono::milliseconds(100);
        for (const std::string& id : table.targets_due_for_poll(now))
        {
            ++asked[id];
            ++total;
        }
    }
    // Three a second for forty seconds.
    BOOST_TEST(total <= 123);
    BOOST_TEST(asked.size() == 60);
    for (auto entry = asked.begin(); entry != asked.end(); ++entry)
        BOOST_TEST((entry->second >= 1 && entry->second <= 3));
    table.poll_soon("t7", start);
    now += std::chrono::milliseconds(400);
    BOOST_TEST(table.targets_due_for_poll(now).front() == "t7");
}

BOOST_AUTO_TEST_CASE(a_missing_role_brings_in_another_cell)
{
    const std::vector<std::string> routers = names("router", 4);
    target_table_settings settings;
    settings.subset = small_cells;
    target_table table("router0", settings);
    table.set_targets(routers, addresses(96), start);
    const std::size_t own = table.targets().size();
    load_report decode = report_of(target_state::serving, 0, 0);
    decode.role = target_role::decode;
    for (const std::string& id : names("t", 96))
        table.report(id, decode, start, start);
    BOOST_TEST(table.is_missing_role(start));
    table.set_targets(routers, addresses(96), start);
    BOOST_TEST(table.targets().size() > own);
}

BOOST_AUTO_TEST_SUITE_END()
