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

target_selector make_selector()
{
    selector_settings settings;
    settings.availability_zone = "zone-a";
    return target_selector(settings, 7);
}

} // namespace

BOOST_AUTO_TEST_SUITE(target_selector_test)

BOOST_AUTO_TEST_CASE(a_prefix_keeps_its_owner_and_its_overflow_target)
{
    target_table table = make_table(10);
    target_selector selector = make_selector();
    selection_request request;
    request.prefix = prefix_key("the shared levy rules");
    request.prefill_tokens = 1000;
    const std::string owner =
        selector.choose(table, nullptr, request, start).value().target;
    for (int round = 0; round < 20; ++round)
    {
        BOOST_TEST(
            selector.choose(table, nullptr, request, start).value().target ==
            owner);
    }
    // Once its load exceeds the bound, the target is skipped, always for the
    // same other target.
    table.attempt_started(owner, "a", 50000, start);
    std::set<std::string> next;
    for (int round = 0; round < 20; ++round)
        next.insert(
            selector.choose(table, nullptr, request, start).value().target);
    BOOST_TEST(next.size() == 1);
    BOOST_TEST(next.count(owner) == 0);
}

BOOST_AUTO_TEST_CASE(one_hot_prefix_does_not_overload_its_target)
{
    target_table table = make_table(10);
    target_selector selector = make_selector();
    selection_request request;
    request.prefix = 99;
    request.prefill_tokens = 100;
    std::map<std::string, double> assigned_requests;
    constexpr int requests = 200;
    for (int index = 0; index < requests; ++index)
    {
        const std::string target =
            selector.choose(table, nullptr, request, start).value().target;
        table.attempt_started(target, std::to_string(index), 100, start);
        assigned_requests[target] += 1;
    }
    const double mean = requests / 10.0;
    for (auto entry = assigned_requests.begin();
         entry != assigned_requests.end(); ++entry)
        BOOST_TEST(entry->second <= 1.25 * mean + 3);
}

BOOST_AUTO_TEST_CASE(a_prefix_that_most_requests_have_gets_more_targets)
{
    target_table table = make_table(10);
    target_selector selector = make_selector();
    std::set<std::string> hot;
    std::set<std::string> cold;
    for (std::uint64_t round = 0; round < 4000; ++round)
    {
        selection_request request;
        request.prefill_tokens = 1000;
        request.prefix = round % 2 == 0 ? 5 : 1000 + round;
        const std::string target =
            selector.choose(table, nullptr, request, start).value().target;
        if (round % 2 == 0 && round > 2000)
            hot.insert(target);
        request.prefix = 7;
        if (round % 500 == 0)
            cold.insert(
                selector.choose(table, nullptr, request, start).value().target);
    }
    // With equal loads, a prefix with half of all requests is assigned to half
    // of the targets.
    BOOST_TEST(hot.size() >= 4);
    BOOST_TEST(hot.size() <= 6);
    BOOST_TEST(cold.size() == 1);
}

BOOST_AUTO_TEST_CASE(the_most_loaded_target_is_never_selected)
{
    target_table table = make_table(5);
    for (std::size_t index = 0; index < 5; ++index)
        set_load(table, index, target_role::mixed, index == 3 ? 5000 : 10, 4);
    target_selector selector = make_selector();
    std::set<std::string> selected;
    for (int round = 0; round < 200; ++round)
        selected.insert(
            selector.choose(table, nullptr, {}, start).value().target);
    BOOST_TEST(selected.size() == 4);
    BOOST_TEST(selected.count("t3") == 0);
    // Of two targets, the less loaded one is always selected.
    selection_request request;
    request.excluded = {"t0", "t1", "t2"};
    for (int round = 0; round < 50; ++round)
    {
        BOOST_TEST(
            selector.choose(table, nullptr, request, start).value().target ==
            "t4");
    }
}

BOOST_AUTO_TEST_CASE(kv_is_transferred_if_that_reduces_the_wait)
{
    target_table table = make_table(2);
    target_selector selector = make_selector();
    selection_request request;
    request.prefill_tokens = 5000;
    set_load(table, 0, target_role::prefill, 0, 0);
    set_load(table, 1, target_role::decode, 0, 10);
    const target_selection split =
        selector.choose(table, nullptr, request, start).value();
    BOOST_TEST(split.target == "t0");
    BOOST_TEST(split.decode_target == "t1");
    BOOST_TEST(split.kv_blocks == 3);

    set_load(table, 0, target_role::mixed, 0, 2);
    const target_selection whole =
        selector.choose(table, nullptr, request, start).value();
    BOOST_TEST(whole.target == "t0");
    BOOST_TEST(whole.decode_target.empty());

    set_load(table, 0, target_role::mixed, 0, 60);
    const target_selection moved =
        selector.choose(table, nullptr, request, start).value();
    BOOST_TEST(moved.decode_target == "t1");
    request.kv_transfer_allowed = false;
    BOOST_TEST(selector.choose(table, nullptr, request, start)
                   .value()
                   .decode_target.empty());
}

BOOST_AUTO_TEST_CASE(the_reason_for_a_missing_target_is_reported)
{
    target_selector selector = make_selector();
    selection_request request;
    target_table empty("router0", {});
    BOOST_TEST((selector.choose(empty, nullptr, request, start).error() ==
                routing_error::no_target));

    target_table table = make_table(2);
    send_permission permission("router0", "levy-llm");
    BOOST_TEST((selector.choose(table, &permission, request, start).error() ==
                routing_error::not_permitted));
    permission.receive(
        routing_announcement{"levy-llm", {1, 1}, {"t0"}, permission_term},
        start);
    for (int round = 0; round < 10; ++round)
    {
        BOOST_TEST(selector.choose(table, &permission, request, start)
                       .value()
                       .target == "t1");
    }
    request.excluded = {"t1"};
    BOOST_TEST((selector.choose(table, &permission, request, start).error() ==
                routing_error::not_permitted));
    request.excluded = {};
    for (int index = 0; index < 64; ++index)
        table.attempt_started(target_name(index % 2), std::to_string(index), 1,
                              start);
    BOOST_TEST((selector.choose(table, nullptr, request, start).error() ==
                routing_error::targets_full));
}

BOOST_AUTO_TEST_CASE(suspected_targets_are_used_only_as_a_last_resort)
{
    target_table table = make_table(3);
    target_selector selector = make_selector();
    table.attempt_failed("t0", start);
    for (int round = 0; round < 30; ++round)
    {
        BOOST_TEST(selector.choose(table, nullptr, {}, start).value().target !=
                   "t0");
    }
    selection_request request;
    request.excluded = {"t1", "t2"};
    BOOST_TEST(selector.choose(table, nullptr, request, start).value().target ==
               "t0");
}

BOOST_AUTO_TEST_SUITE_END()
