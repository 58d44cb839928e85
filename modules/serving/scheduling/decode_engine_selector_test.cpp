#include "serving/scheduling/serving_fakes.hpp"

#include <boost/test/unit_test.hpp>
#include <set>

using namespace hibiscusferry;

namespace
{

/** Returns twelve decode engines with eight slots each in three zones. */
target_list make_twelve_engines()
{
    const std::vector<std::string> zones{"a", "b", "c"};
    target_list engines;
    for (std::size_t number = 0; number < 12; ++number)
    {
        engines.push_back(make_engine("d" + std::to_string(number),
                                      zones[number % 3], target_role::decode));
        engines.back()->record.slots = 8;
    }
    return engines;
}

engine_candidate select_engine(const target_list& engines,
                               const generation_request& request,
                               const target_view* prefill_engine,
                               time_point now)
{
    return decode_engine_selector(make_engine_estimates(),
                                  make_engine_properties())
        .select(engines, request, prefill_engine, now);
}

/** Sets the load of an engine as reported by the other hosts. */
void set_remote_load(target_view& target, const in_flight_load& load,
                     time_point now)
{
    target.remote_load = load;
    target.remote_load_received_at = now;
}

const time_point start{std::chrono::seconds(10)};

} // namespace

BOOST_AUTO_TEST_SUITE(decode_engine_selector_test)

// If completions that take seconds and completions that take milliseconds share
// engines with few slots, each kind delays the other, even under steady load.
BOOST_AUTO_TEST_CASE(long_completions_are_packed_apart_from_short_ones)
{
    const target_list engines = make_twelve_engines();
    manual_clock clock;
    clock.advance(std::chrono::seconds(10));
    const prompt_info long_completion_prompt = make_short_prompt();
    generation_request request =
        make_generation_request(long_completion_prompt);
    std::set<std::string> packed_engines;
    std::vector<std::unique_ptr<target_load_guard>> guards;
    for (std::uint64_t number = 0; number < 10; ++number)
    {
        request.random_value = stable_hash(std::to_string(number));
        request.constraints.live_hosts = 1;
        const engine_candidate selected =
            select_engine(engines, request, nullptr, clock.now());
        BOOST_REQUIRE(selected.target);
        packed_engines.insert(selected.target->record.id);
        guards.push_back(std::make_unique<target_load_guard>(selected.target, 0,
                                                             300, clock));
    }
    BOOST_TEST(packed_engines.size() == 2U);

    const prompt_info prompt = make_long_prompt("doc-1", "s1");
    generation_request short_completion_request =
        make_generation_request(prompt);
    short_completion_request.constraints.live_hosts = 1;
    std::size_t assigned_to_packed = 0;
    for (std::uint64_t number = 0; number < 100; ++number)
    {
        short_completion_request.random_value =
            stable_hash("r" + std::to_string(number));
        const engine_candidate selected =
            select_engine(engines, short_completion_request,
                          engines.front().get(), clock.now());
        assigned_to_packed += packed_engines.count(selected.target->record.id);
    }
    BOOST_TEST(assigned_to_packed <= 5U);
}

BOOST_AUTO_TEST_CASE(hosts_with_the_same_load_reports_select_different_engines)
{
    const target_list engines = make_twelve_engines();
    const prompt_info prompt = make_long_prompt("doc-1", "s1");
    generation_request request = make_generation_request(prompt);
    std::map<std::string, int> assignment_counts;
    for (std::uint64_t number = 0; number < 400; ++number)
    {
        request.random_value = stable_hash(std::to_string(number));
        const std::shared_ptr<target_view> target =
            select_engine(engines, request, engines.front().get(), start)
                .target;
        ++assignment_counts[target->record.id];
        // The prefill engine is in zone a; staying there avoids a cross-zone
        // transfer.
        BOOST_TEST(target->record.availability_zone == "a");
    }
    BOOST_TEST(assignment_counts.size() == 4U);
    for (const auto& [id, count] : assignment_counts)
        BOOST_TEST(count > 50);
}

BOOST_AUTO_TEST_CASE(engines_filled_by_other_hosts_are_avoided)
{
    const target_list engines = make_twelve_engines();
    for (std::size_t number = 0; number < 12; ++number)
    {
        in_flight_load load;
        load.requests = number == 4 ? 1 : 12;
        set_remote_load(*engines[number], load, start);
    }
    const prompt_info prompt = make_long_prompt("doc-1", "s1");
    generation_request request = make_generation_request(prompt);
    std::size_t assigned_to_free_engine = 0;
    for (std::uint64_t number = 0; number < 100; ++number)
    {
        request.random_value = stable_hash(std::to_string(number));
        assigned_to_free_engine +=
            select_engine(engines, request, nullptr, start).target == engines[4]
                ? 1U
                : 0U;
    }
    // The free engine is in the sample of about a third of the requests.
    BOOST_TEST(assigned_to_free_engine > 20U);
}

// When transfers to ten engines become eight times slower, a host must learn
// this from the reports of other hosts instead of observing each engine itself.
BOOST_AUTO_TEST_CASE(delays_reported_by_other_hosts_are_considered)
{
    const target_list engines = make_twelve_engines();
    const prompt_info prompt = make_long_prompt("doc-1", "s1");
    generation_request request = make_generation_request(prompt);
    request.random_value = 7;
    const std::shared_ptr<target_view> initial_target =
        select_engine(engines, request, nullptr, start).target;
    in_flight_load load;
    load.exchanges = 50;
    load.delays_ms = 50 * 200;
    set_remote_load(*initial_target, load, start);
    const engine_candidate selected =
        select_engine(engines, request, nullptr, start);
    BOOST_TEST(selected.target != initial_target);
}

BOOST_AUTO_TEST_CASE(an_engine_without_free_memory_is_not_selected)
{
    const target_list engines = make_twelve_engines();
    in_flight_load load;
    load.kv_tokens = 680000;
    for (const std::shared_ptr<target_view>& target : engines)
        set_remote_load(*target, load, start);
    const prompt_info prompt = make_long_prompt("doc-1", "s1");
    BOOST_TEST(!select_engine(engines, make_generation_request(prompt),
                              engines.front().get(), start)
                    .target);
}

BOOST_AUTO_TEST_SUITE_END()
