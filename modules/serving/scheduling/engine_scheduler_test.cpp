#include "serving/scheduling/serving_fakes.hpp"

#include <boost/test/unit_test.hpp>
#include <queue>
#include <set>

using namespace hibiscusferry;

namespace
{

using engine_list = std::vector<std::shared_ptr<target_view>>;

/** Returns nine prefill engines and five decode engines in three zones. */
engine_list make_fleet()
{
    const std::vector<std::string> zones{"a", "b", "c"};
    engine_list engines;
    for (int index = 0; index < 9; ++index)
        engines.push_back(make_engine("r" + std::to_string(index),
                                      zones[index % 3], target_role::prefill));
    for (int index = 0; index < 5; ++index)
        engines.push_back(make_engine("d" + std::to_string(index),
                                      zones[index % 3], target_role::decode));
    return engines;
}

engine_assignment schedule(const engine_list& engines,
                           const generation_request& request, time_point now)
{
    scheduling_failure reason = scheduling_failure::no_target;
    return engine_scheduler(make_engine_estimates())
        .schedule(engines, request, make_engine_properties(), now, reason);
}

} // namespace

BOOST_AUTO_TEST_SUITE(engine_scheduler_test)

BOOST_AUTO_TEST_CASE(prompts_with_a_shared_prefix_use_the_same_prefill_engine)
{
    const engine_list engines = make_fleet();
    const time_point now{std::chrono::seconds(1)};
    const prompt_info first_prompt = make_long_prompt("doc-1", "s1");
    const prompt_info second_prompt = make_long_prompt("doc-1", "s2");
    const engine_assignment first_assignment =
        schedule(engines, make_generation_request(first_prompt), now);
    const engine_assignment second_assignment =
        schedule(engines, make_generation_request(second_prompt), now);
    BOOST_REQUIRE(first_assignment.prefill_engine);
    BOOST_TEST(first_assignment.prefill_engine->record.id ==
               second_assignment.prefill_engine->record.id);
    BOOST_TEST(first_assignment.pending_prefill_tokens == 2890);
}

BOOST_AUTO_TEST_CASE(a_prompt_leaves_its_owner_only_if_the_owner_is_busy)
{
    const engine_list engines = make_fleet();
    manual_clock clock;
    clock.advance(std::chrono::seconds(1));
    const prompt_info prompt = make_long_prompt("doc-1", "s1");
    generation_request request = make_generation_request(prompt);
    const std::shared_ptr<target_view> owner =
        schedule(engines, request, clock.now()).prefill_engine;
    request.constraints.availability_zone = owner->record.availability_zone;
    request.constraints.live_hosts = 1;
    const target_load_guard light_load(owner, 1500, 9190, clock);
    BOOST_TEST(schedule(engines, request, clock.now()).prefill_engine == owner);
    const target_load_guard heavy_load(owner, 9190, 9190, clock);
    const engine_assignment reassigned =
        schedule(engines, request, clock.now());
    BOOST_TEST(reassigned.prefill_engine != owner);
    BOOST_TEST(reassigned.prefix_source == owner);
    BOOST_TEST(reassigned.pending_prefill_tokens == 2890);
}

// If hosts with the same load reports all selected the least loaded engine, the
// shared prefix would be prefilled again on every engine.
BOOST_AUTO_TEST_CASE(a_prompt_uses_at_most_two_owners_under_any_load)
{
    const engine_list engines = make_fleet();
    manual_clock clock;
    clock.advance(std::chrono::seconds(1));
    const prompt_info prompt = make_long_prompt("doc-1", "s1");
    generation_request request = make_generation_request(prompt);
    request.time_to_objective = std::chrono::seconds(10);
    request.time_to_deadline = std::chrono::seconds(10);
    request.constraints.connection_allowance = 1000;
    std::set<std::string> prefill_engines;
    std::vector<std::unique_ptr<target_load_guard>> guards;
    for (int count = 0; count < 40; ++count)
    {
        const engine_assignment assignment =
            schedule(engines, request, clock.now());
        prefill_engines.insert(assignment.prefill_engine->record.id);
        guards.push_back(std::make_unique<target_load_guard>(
            assignment.prefill_engine, 9190, 9190, clock));
    }
    BOOST_TEST(prefill_engines.size() == 2U);
}

// When many engines are replaced during a burst, the new owners have empty
// caches and would prefill every shared prefix again unless they fetch it.
BOOST_AUTO_TEST_CASE(a_recently_joined_owner_fetches_from_the_previous_owner)
{
    const engine_list engines = make_fleet();
    const time_point now{std::chrono::seconds(100)};
    const prompt_info prompt = make_long_prompt("doc-1", "s1");
    const std::shared_ptr<target_view> owner =
        schedule(engines, make_generation_request(prompt), now).prefill_engine;
    owner->cache_warm_at = now + std::chrono::seconds(5);
    const engine_assignment assignment =
        schedule(engines, make_generation_request(prompt), now);
    BOOST_REQUIRE(assignment.prefill_engine);
    const std::shared_ptr<target_view> source_engine =
        assignment.prefill_engine == owner ? assignment.prefix_source
                                           : assignment.prefill_engine;
    BOOST_REQUIRE(source_engine);
    BOOST_TEST(source_engine != owner);
    source_engine->is_withdrawn = true;
    BOOST_TEST(
        schedule(engines, make_generation_request(prompt), now).prefix_source ==
        source_engine);
}

// Streams stall for seconds if their decode engine prefills long prompts
// between the tokens that it generates.
BOOST_AUTO_TEST_CASE(all_engines_of_a_resumed_stream_have_its_version)
{
    const engine_list engines = make_fleet();
    const time_point now{std::chrono::seconds(100)};
    for (std::size_t index = 0; index < engines.size(); ++index)
        engines[index]->record.software_version = index % 2 == 0 ? "v1" : "v2";
    for (const char* version : {"v1", "v2"})
    {
        for (int count = 0; count < 20; ++count)
        {
            const prompt_info prompt =
                make_long_prompt("doc-" + std::to_string(count), "s1");
            generation_request request = make_generation_request(prompt);
            request.constraints.software_version = version;
            request.random_value = stable_hash(std::to_string(count));
            const engine_assignment assignment =
                schedule(engines, request, now);
            BOOST_REQUIRE(assignment.prefill_engine);
            BOOST_REQUIRE(assignment.decode_engine);
            for (const std::shared_ptr<target_view>& engine :
                 {assignment.prefill_engine, assignment.decode_engine})
                BOOST_TEST(engine->record.software_version == version);

            // The new owner would fetch the prefix from the warm one.
            assignment.prefill_engine->cache_warm_at =
                now + std::chrono::seconds(1);
            const engine_assignment after_join =
                schedule(engines, request, now);
            assignment.prefill_engine->cache_warm_at = {};
            if (after_join.prefix_source)
                BOOST_TEST(after_join.prefix_source->record.software_version ==
                           version);
        }
    }
}

BOOST_AUTO_TEST_CASE(
    a_resumed_stream_is_refused_without_an_engine_of_its_version)
{
    const engine_list engines = make_fleet();
    for (const std::shared_ptr<target_view>& engine : engines)
        engine->record.software_version =
            engine->record.stage == target_role::prefill ? "v1" : "v2";
    const prompt_info prompt = make_long_prompt("doc-1", "s1");
    generation_request request = make_generation_request(prompt);
    request.constraints.software_version = "v1";
    scheduling_failure reason = scheduling_failure::busy;
    const engine_assignment assignment =
        engine_scheduler(make_engine_estimates())
            .schedule(engines, request, make_engine_properties(),
                      time_point{std::chrono::seconds(100)}, reason);
    BOOST_TEST(!assignment.decode_engine);
    BOOST_TEST(!assignment.prefill_engine);
    BOOST_TEST((reason == scheduling_failure::no_target));
}

BOOST_AUTO_TEST_CASE(decode_engines_leave_long_prompts_to_prefill_engines)
{
    engine_list engines = make_fleet();
    manual_clock clock;
    clock.advance(std::chrono::seconds(1));
    const prompt_info prompt = make_long_prompt("doc-1", "s1");
    generation_request request = make_generation_request(prompt);
    request.time_to_objective = std::chrono::seconds(10);
    request.time_to_deadline = std::chrono::seconds(10);
    std::vector<std::unique_ptr<target_load_guard>> guards;
    for (const std::shared_ptr<target_view>& target : engines)
    {
        if (target->record.stage == target_role::prefill)
            guards.push_back(std::make_unique<target_load_guard>(target, 30000,
                                                                 9190, clock));
    }
    BOOST_TEST(schedule(engines, request, clock.now()).prefill_engine !=
               nullptr);
    for (const std::shared_ptr<target_view>& target : engines)
        target->is_withdrawn = target->record.stage == target_role::prefill;
    const engine_assignment direct = schedule(engines, request, clock.now());
    BOOST_TEST(direct.prefill_engine == nullptr);
    BOOST_TEST(direct.decode_engine != nullptr);
}

// The uncached rest of a mostly cached prompt is still long enough to stall the
// streams of a decode engine, so that streams of 90 events take seconds.
BOOST_AUTO_TEST_CASE(decode_engines_do_not_prefill_the_rest_of_a_cached_prompt)
{
    const engine_list engines = make_fleet();
    const prompt_info prompt = make_long_prompt("doc-1", "s1");
    for (const std::shared_ptr<target_view>& target : engines)
        target->cached_prefixes.add(
            prompt, make_engine_properties().kv_capacity_tokens);
    const engine_assignment assignment =
        schedule(engines, make_generation_request(prompt),
                 time_point{std::chrono::seconds(1)});
    BOOST_TEST(assignment.pending_prefill_tokens == 2890);
    BOOST_TEST(assignment.prefill_engine != nullptr);
}

BOOST_AUTO_TEST_CASE(short_prompts_use_a_decode_engine_of_the_local_zone)
{
    const engine_list engines = make_fleet();
    const prompt_info prompt = make_short_prompt();
    const engine_assignment assignment =
        schedule(engines, make_generation_request(prompt),
                 time_point{std::chrono::seconds(1)});
    BOOST_REQUIRE(assignment.decode_engine);
    BOOST_TEST(assignment.prefill_engine == nullptr);
    BOOST_TEST(assignment.decode_engine->record.availability_zone == "a");
}

// In a burst, exchanges estimated at 200 ms can take 800 ms. Unless the
// observed delay is considered, every started request misses its objective.
BOOST_AUTO_TEST_CASE(observed_delay_refuses_requests_that_would_be_late)
{
    const engine_list engines = make_fleet();
    const time_point now{std::chrono::seconds(1)};
    const prompt_info prompt = make_long_prompt("doc-1", "s1");
    generation_request request = make_generation_request(prompt);
    request.constraints.live_hosts = 1;
    manual_clock clock;
    clock.advance(std::chrono::seconds(1));
    std::vector<std::unique_ptr<target_load_guard>> guards;
    for (const std::shared_ptr<target_view>& target : engines)
    {
        if (target->record.stage == target_role::prefill)
            guards.push_back(std::make_unique<target_load_guard>(target, 14000,
                                                                 9190, clock));
    }
    const engine_assignment assignment = schedule(engines, request, now);
    BOOST_REQUIRE(assignment.prefill_engine);
    for (const std::shared_ptr<target_view>& target : engines)
    {
        for (int sample = 0; sample < 60; ++sample)
            target->delay.add(20, std::chrono::milliseconds(140),
                              request.latency_objective, now);
    }
    scheduling_failure reason = scheduling_failure::no_target;
    const engine_assignment refused =
        engine_scheduler(make_engine_estimates())
            .schedule(engines, request, make_engine_properties(), now, reason);
    BOOST_TEST(refused.decode_engine == nullptr);
    BOOST_TEST((reason == scheduling_failure::busy));
    BOOST_TEST(refused.expected_ms > 150);
}

// In a fleet of 84 hosts and 45 engines, each host observes a given engine only
// every few seconds. Without the delays observed for the whole stage, it would
// continue to send requests into queues of 750 ms.
BOOST_AUTO_TEST_CASE(delays_of_other_engines_of_the_stage_are_considered)
{
    const engine_list engines = make_fleet();
    const time_point now{std::chrono::seconds(1)};
    const prompt_info prompt = make_long_prompt("doc-1", "s1");
    generation_request request = make_generation_request(prompt);
    BOOST_TEST(schedule(engines, request, now).prefill_engine != nullptr);
    for (int sample = 0; sample < 60; ++sample)
        request.delays.prefill_engines.add(10, std::chrono::milliseconds(750),
                                           request.latency_objective, now);
    for (int sample = 0; sample < 60; ++sample)
        request.delays.decode_engines.add(10, std::chrono::milliseconds(80),
                                          request.latency_objective, now);
    scheduling_failure reason = scheduling_failure::no_target;
    const engine_assignment refused =
        engine_scheduler(make_engine_estimates())
            .schedule(engines, request, make_engine_properties(), now, reason);
    BOOST_TEST(refused.decode_engine == nullptr);
    BOOST_TEST((reason == scheduling_failure::busy));
}

// Simulates a burst of long prompts from 740 documents at twice the rate that
// nine prefill engines can process. Requests that are started must be on time,
// and the prefill engines must stay busy.
BOOST_AUTO_TEST_CASE(requests_of_a_burst_beyond_capacity_are_on_time_or_refused)
{
    const engine_list engines = make_fleet();
    manual_clock clock;
    clock.advance(std::chrono::seconds(1));
    constexpr double tokens_per_ms = 341;
    constexpr int arrivals_per_ms = 2;
    struct prefill_task
    {
        double end_ms;
        std::shared_ptr<target_view> prefill_engine;
        std::unique_ptr<target_load_guard> guard;
        double baseline_ms;
        double start_ms;
    };
    std::vector<prefill_task> in_flight;
    std::map<std::string, double> free_at_ms;
    std::size_t on_time = 0;
    std::size_t late = 0;
    std::size_t refused = 0;
    constexpr int test_duration_ms = 3000;
    constexpr int warm_up_ms = 500;
    std::uint64_t random_value = 1;
    for (int now_ms = 0; now_ms < test_duration_ms; ++now_ms)
    {
        for (auto entry = in_flight.begin(); entry != in_flight.end();)
        {
            if (entry->end_ms > now_ms)
            {
                ++entry;
                continue;
            }
            entry->prefill_engine->delay.add(
                entry->baseline_ms,
                std::chrono::duration<double, std::milli>(now_ms -
                                                          entry->start_ms),
                std::chrono::milliseconds(150), clock.now());
            if (now_ms > warm_up_ms)
                (now_ms - entry->start_ms <= 150 ? on_time : late) += 1;
            entry = in_flight.erase(entry);
        }
        for (int arrival = 0; arrival < arrivals_per_ms; ++arrival)
        {
            random_value =
                random_value * 6364136223846793005U + 1442695040888963407U;
            const prompt_info prompt = make_long_prompt(
                "doc-" + std::to_string((random_value >> 33U) % 740),
                std::to_string(random_value));
            generation_request request = make_generation_request(prompt);
            request.constraints.live_hosts = 1;
            request.constraints.connection_allowance = 1000;
            const engine_assignment assignment =
                schedule(engines, request, clock.now());
            if (!assignment.prefill_engine)
            {
                refused += 1;
                continue;
            }
            double& engine_free_at_ms =
                free_at_ms[assignment.prefill_engine->record.id];
            const double duration_ms =
                assignment.pending_prefill_tokens / tokens_per_ms;
            engine_free_at_ms =
                std::max<double>(engine_free_at_ms, now_ms) + duration_ms;
            in_flight.push_back(
                {engine_free_at_ms, assignment.prefill_engine,
                 std::make_unique<target_load_guard>(
                     assignment.prefill_engine,
                     assignment.pending_prefill_tokens, 9190, clock),
                 assignment.prefill_baseline_ms, static_cast<double>(now_ms)});
        }
        clock.advance(std::chrono::milliseconds(1));
    }
    BOOST_TEST_MESSAGE("on time " << on_time << " late " << late << " refused "
                                  << refused);
    BOOST_TEST(late * 20 < on_time);
    BOOST_TEST(refused > 0U);
    // Nine prefill engines take 8.5 ms per prompt each if shared prefixes stay
    // with their owners.
    const double capacity =
        9.0 * (test_duration_ms - warm_up_ms) / (2890 / tokens_per_ms);
    BOOST_TEST(static_cast<double>(on_time) > 0.8 * capacity);
}

// The largest prompts take longer than the objective even at an idle engine. If
// they were refused for that, none of them would ever be served.
BOOST_AUTO_TEST_CASE(a_prompt_is_not_refused_for_its_size_alone)
{
    const engine_list engines = make_fleet();
    manual_clock clock;
    clock.advance(std::chrono::seconds(1));
    prompt_info prompt = make_long_prompt("doc-1", "s1");
    prompt.blocks.back().tokens = 60000;
    prompt.prompt_tokens = 66300;
    generation_request request = make_generation_request(prompt);
    request.constraints.live_hosts = 1;
    const engine_assignment assignment =
        schedule(engines, request, clock.now());
    BOOST_TEST(assignment.decode_engine != nullptr);
    BOOST_TEST(assignment.expected_ms > 150);
    // With a queue, it would delay all others without being on time itself.
    std::vector<std::unique_ptr<target_load_guard>> guards;
    for (const std::shared_ptr<target_view>& target : engines)
        guards.push_back(
            std::make_unique<target_load_guard>(target, 90000, 9190, clock));
    BOOST_TEST(schedule(engines, request, clock.now()).decode_engine ==
               nullptr);
    // No caller waits that long.
    guards.clear();
    request.time_to_deadline = std::chrono::milliseconds(250);
    BOOST_TEST(schedule(engines, request, clock.now()).decode_engine ==
               nullptr);
}

// After all hosts were restarted, none of them knows the speed of the engines.
// Requests of the first second queued at their engines for 850 ms.
BOOST_AUTO_TEST_CASE(queues_are_bounded_before_the_speed_of_engines_is_known)
{
    const engine_list engines = make_fleet();
    manual_clock clock;
    clock.advance(std::chrono::seconds(1));
    const prompt_info prompt = make_long_prompt("doc-1", "s1");
    generation_request request = make_generation_request(prompt);
    request.constraints.live_hosts = 1;
    const engine_scheduler scheduler(with_assumed_speed({}, request, engines));
    std::map<std::string, int> accepted;
    std::vector<std::unique_ptr<target_load_guard>> guards;
    for (int count = 0; count < 20; ++count)
    {
        scheduling_failure reason = scheduling_failure::no_target;
        const engine_assignment assignment = scheduler.schedule(
            engines, request, make_engine_properties(), clock.now(), reason);
        if (!assignment.decode_engine)
            continue;
        BOOST_REQUIRE(assignment.prefill_engine);
        ++accepted[assignment.prefill_engine->record.id];
        guards.push_back(std::make_unique<target_load_guard>(
            assignment.prefill_engine, assignment.pending_prefill_tokens, 9190,
            clock));
    }
    // Both owners of the prefix share the load.
    BOOST_REQUIRE(accepted.size() == 2U);
    for (const auto& [id, count] : accepted)
    {
        BOOST_TEST(count >= 2);
        BOOST_TEST(count <= 6);
    }
}

// Engines prefill urgent prompts first. If the long prompts of the least urgent
// kind counted as a queue before them, urgent requests were refused.
BOOST_AUTO_TEST_CASE(urgent_requests_are_not_refused_for_less_urgent_prefills)
{
    const engine_list engines = make_fleet();
    manual_clock clock;
    clock.advance(std::chrono::seconds(1));
    const prompt_info prompt = make_long_prompt("doc-1", "s1");
    generation_request request = make_generation_request(prompt);
    request.constraints.live_hosts = 1;
    std::vector<std::unique_ptr<target_load_guard>> guards;
    for (const std::shared_ptr<target_view>& target : engines)
        guards.push_back(std::make_unique<target_load_guard>(target, 60000,
                                                             9190, clock, 2U));
    for (const unsigned rank : {0U, 1U, 2U, 7U})
    {
        request.rank = rank;
        const engine_assignment assignment =
            schedule(engines, request, clock.now());
        BOOST_TEST((assignment.decode_engine != nullptr) == (rank < 2U));
    }
}

BOOST_AUTO_TEST_SUITE_END()
