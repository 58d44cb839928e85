#include "routing/routing.hpp"

#include <boost/test/unit_test.hpp>
#include <map>
#include <set>

using namespace hibiscusferry;

namespace
{

constexpr time_point start{std::chrono::hours(1)};

std::string target_name(std::size_t index)
{
    return "t" + std::to_string(index);
}

target_table make_table(std::size_t count)
{
    std::vector<target_address> targets;
    targets.reserve(count);
    for (std::size_t index = 0; index < count; ++index)
        targets.push_back({target_name(index), "zone-a", "10.0.0.1", 1, false});
    target_table table("router0", {});
    table.set_targets({"router0"}, targets, start);
    return table;
}

void set_load(target_table& table, std::size_t index, target_role role,
              std::uint64_t prefill, std::uint32_t streams)
{
    load_report report;
    report.role = role;
    report.waiting_prefill_tokens = prefill;
    report.active_streams = streams;
    table.report(target_name(index), report, start, start);
}

target_selector make_picker()
{
    selector_settings settings;
    settings.availability_zone = "zone-a";
    return target_selector(settings, 7);
}

} // namespace

BOOST_AUTO_TEST_SUITE(target_picker_test)

BOOST_AUTO_TEST_CASE(a_prefix_keeps_its_target_and_overflow_keeps_its_order)
{
    target_table table = make_table(10);
    target_selector picker = make_picker();
    selection_request request;
    request.prefix = prefix_key("the shared levy rules");
    request.prefill_tokens = 1000;
    const std::string home =
        picker.choose(table, nullptr, request, start).value().target;
    for (int round = 0; round < 20; ++round)
    {
        BOOST_TEST(
            picker.choose(table, nullptr, request, start).value().target ==
            home);
    }
    // Loaded beyond the bound it is passed over, always for the same one.
    table.attempt_started(home, "a", 50000, start);
    std::set<std::string> next;
    for (int round = 0; round < 20; ++round)
        next.insert(
            picker.choose(table, nullptr, request, start).value().target);
    BOOST_TEST(next.size() == 1);
    BOOST_TEST(next.count(home) == 0);
}

BOOST_AUTO_TEST_CASE(one_hot_prefix_does_not_overload_its_target)
{
    target_table table = make_table(10);
    target_selector picker = make_picker();
    selection_request request;
    request.prefix = 99;
    request.prefill_tokens = 100;
    std::map<std::string, double> work;
    constexpr int requests = 200;
    for (int index = 0; index < requests; ++index)
    {
        const std::string target =
            picker.choose(table, nullptr, request, start).value().target;
        table.attempt_started(target, std::to_string(index), 100, start);
        work[target] += 1;
    }
    const double mean = requests / 10.0;
    for (auto entry = work.begin(); entry != work.end(); ++entry)
        BOOST_TEST(entry->second <= 1.25 * mean + 3);
}

BOOST_AUTO_TEST_CASE(a_prefix_that_most_requests_have_gets_more_targets)
{
    target_table table = make_table(10);
    target_selector picker = make_picker();
    std::set<std::string> hot;
    std::set<std::string> cold;
    for (std::uint64_t round = 0; round < 4000; ++round)
    {
        selection_request request;
        request.prefill_tokens = 1000;
        request.prefix = round % 2 == 0 ? 5 : 1000 + round;
        const std::string target =
            picker.choose(table, nullptr, request, start).value().target;
        if (round % 2 == 0 && round > 2000)
            hot.insert(target);
        request.prefix = 7;
        if (round % 500 == 0)
            cold.insert(
                picker.choose(table, nullptr, request, start).value().target);
    }
    // Half of all requests deserve half of the targets, with no load known.
    BOOST_TEST(hot.size() >= 4);
    BOOST_TEST(hot.size() <= 6);
    BOOST_TEST(cold.size() == 1);
}

BOOST_AUTO_TEST_CASE(the_most_loaded_target_is_never_drawn)
{
    target_table table = make_table(5);
    for (std::size_t index = 0; index < 5; ++index)
        set_load(table, index, target_role::mixed, index == 3 ? 5000 : 10, 4);
    target_selector picker = make_picker();
    std::set<std::string> drawn;
    for (int round = 0; round < 200; ++round)
        drawn.insert(picker.choose(table, nullptr, {}, start).value().target);
    BOOST_TEST(drawn.size() == 4);
    BOOST_TEST(drawn.count("t3") == 0);
    // Of two, always the one with less to do.
    selection_request request;
    request.excluded = {"t0", "t1", "t2"};
    for (int round = 0; round < 50; ++round)
    {
        BOOST_TEST(
            picker.choose(table, nullptr, request, start).value().target ==
            "t4");
    }
}

BOOST_AUTO_TEST_CASE(kv_is_handed_over_when_that_pays)
{
    target_table table = make_table(2);
    target_selector picker = make_picker();
    selection_request request;
    request.prefill_tokens = 5000;
    set_load(table, 0, target_role::prefill, 0, 0);
    set_load(table, 1, target_role::decode, 0, 10);
    const target_selection split =
        picker.choose(table, nullptr, request, start).value();
    BOOST_TEST(split.target == "t0");
    BOOST_TEST(split.decode_target == "t1");
    BOOST_TEST(split.kv_blocks == 3);

    set_load(table, 0, target_role::mixed, 0, 2);
    const target_selection whole =
        picker.choose(table, nullptr, request, start).value();
    BOOST_TEST(whole.target == "t0");
    BOOST_TEST(whole.decode_target.empty());

    set_load(table, 0, target_role::mixed, 0, 60);
    const target_selection moved =
        picker.choose(table, nullptr, request, start).value();
    BOOST_TEST(moved.decode_target == "t1");
    request.kv_transfer_allowed = false;
    BOOST_TEST(picker.choose(table, nullptr, request, start)
                   .value()
                   .decode_target.empty());
}

BOOST_AUTO_TEST_CASE(says_why_there_is_no_target)
{
    target_selector picker = make_picker();
    selection_request request;
    target_table empty("router0", {});
    BOOST_TEST((picker.choose(empty, nullptr, request, start).error() ==
                routing_error::no_target));

    target_table table = make_table(2);
    send_permission permission("router0", "levy-llm");
    BOOST_TEST((picker.choose(table, &permission, request, start).error() ==
                routing_error::not_permitted));
    permission.receive(
        routing_announcement{"levy-llm", {1, 1}, {"t0"}, permission_term},
        start);
    for (int round = 0; round < 10; ++round)
    {
        BOOST_TEST(
            picker.choose(table, &permission, request, start).value().target ==
            "t1");
    }
    request.excluded = {"t1"};
    BOOST_TEST((picker.choose(table, &permission, request, start).error() ==
                routing_error::not_permitted));
    request.excluded = {};
    for (int index = 0; index < 64; ++index)
        table.attempt_started(target_name(index % 2), std::to_string(index), 1,
                              start);
    BOOST_TEST((picker.choose(table, nullptr, request, start).error() ==
                routing_error::targets_full));
}

BOOST_AUTO_TEST_CASE(suspects_are_used_only_when_nothing_else_is_left)
{
    target_table table = make_table(3);
    target_selector picker = make_picker();
    table.attempt_failed("t0", start);
    for (int round = 0; round < 30; ++round)
    {
        BOOST_TEST(picker.choose(table, nullptr, {}, start).value().target !=
                   "t0");
    }
    selection_request request;
    request.excluded = {"t1", "t2"};
    BOOST_TEST(picker.choose(table, nullptr, request, start).value().target ==
               "t0");
}

BOOST_AUTO_TEST_SUITE_END()
