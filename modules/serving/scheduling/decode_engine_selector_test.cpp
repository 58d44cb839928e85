#include "serving/scheduling/serving_fakes.hpp"

#include <boost/test/unit_test.hpp>
#include <set>

using namespace hibiscusferry;

namespace
{

/** Twelve decode engines of eight slots over three zones. */
target_list twelve()
{
    const std::vector<std::string> zones{"a", "b", "c"};
    target_list all;
    for (std::size_t number = 0; number < 12; ++number)
    {
        all.push_back(engine("d" + std::to_string(number), zones[number % 3],
                             target_role::decode));
        all.back()->record.slots = 8;
    }
    return all;
}

engine_candidate choose(const target_list& all,
                        const generation_request& request,
                        const target_view* prefill_engine, time_point now)
{
    return decode_engine_selector(engine_speeds{}, today_engine())
        .best(all, request, prefill_engine, now);
}

/** What the other hosts tell of an engine. */
void tell(target_view& target, const in_flight_load& load, time_point now)
{
    target.remote_load = load;
    target.remote_load_received_at = now;
}

const time_point start{std::chrono::seconds(10)};

} // namespace

BOOST_AUTO_TEST_SUITE(decoder_choice_test)

// Seen on sblro-returns-grown with steady load: answers of seconds and of
// milliseconds shared engines of eight slots, and each made the other late.
BOOST_AUTO_TEST_CASE(long_answers_are_packed_and_short_ones_go_elsewhere)
{
    const target_list all = twelve();
    manual_clock clock;
    clock.advance(std::chrono::seconds(10));
    const prompt_info question = short_prompt();
    generation_request request = request_for(question);
    std::set<std::string> packed;
    std::vector<std::unique_ptr<target_load_guard>> work;
    for (std::uint64_t number = 0; number < 10; ++number)
    {
        request.draw = stable_hash(std::to_string(number));
        request.constraints.live_hosts = 1;
        const engine_candidate found =
            choose(all, request, nullptr, clock.now());
        BOOST_REQUIRE(found.target);
        packed.insert(found.target->record.id);
        work.push_back(
            std::make_unique<target_load_guard>(found.target, 0, 300, clock));
    }
    BOOST_TEST(packed.size() == 2U);

    const prompt_info document = long_prompt("doc-1", "s1");
    generation_request other = request_for(document);
    other.constraints.live_hosts = 1;
    std::size_t beside = 0;
    for (std::uint64_t number = 0; number < 100; ++number)
    {
        other.draw = stable_hash("r" + std::to_string(number));
        const engine_candidate found =
            choose(all, other, all.front().get(), clock.now());
        beside += packed.count(found.target->record.id);
    }
    BOOST_TEST(beside <= 5U);
}

BOOST_AUTO_TEST_CASE(hosts_with_the_same_news_choose_different_engines)
{
    const target_list all = twelve();
    const prompt_info document = long_prompt("doc-1", "s1");
    generation_request request = request_for(document);
    std::map<std::string, int> chosen;
    for (std::uint64_t number = 0; number < 400; ++number)
    {
        request.draw = stable_hash(std::to_string(number));
        const std::shared_ptr<target_view> target =
            choose(all, request, all.front().get(), start).target;
        ++chosen[target->record.id];
        // The reader is in zone a; its decoders save a transfer.
        BOOST_TEST(target->record.availability_zone == "a");
    }
    BOOST_TEST(chosen.size() == 4U);
    for (const auto& [id, times] : chosen)
        BOOST_TEST(times > 50);
}

BOOST_AUTO_TEST_CASE(engines_that_others_have_filled_are_avoided)
{
    const target_list all = twelve();
    for (std::size_t number = 0; number < 12; ++number)
    {
        in_flight_load load;
        load.requests = number == 4 ? 1 : 12;
        tell(*all[number], load, start);
    }
    const prompt_info document = long_prompt("doc-1", "s1");
    generation_request request = request_for(document);
    std::size_t to_the_free_one = 0;
    for (std::uint64_t number = 0; number < 100; ++number)
    {
        request.draw = stable_hash(std::to_string(number));
        to_the_free_one +=
            choose(all, request, nullptr, start).target == all[4] ? 1U : 0U;
    }
    // It is drawn for about a third of the requests.
    BOOST_TEST(to_the_free_one > 20U);
}

// Seen on vandijk-dagtocht-grown scale-2: transfers to ten engines took eight
// times as long, and each host had to find that out for each of them.
BOOST_AUTO_TEST_CASE(delays_that_others_saw_count)
{
    const target_list all = twelve();
    const prompt_info document = long_prompt("doc-1", "s1");
    generation_request request = request_for(document);
    request.draw = 7;
    const std::shared_ptr<target_view> before =
        choose(all, request, nullptr, start).target;
    in_flight_load load;
    load.exchanges = 50;
    load.delays_ms = 50 * 200;
    tell(*before, load, start);
    const engine_candidate after = choose(all, request, nullptr, start);
    BOOST_TEST(after.target != before);
}

BOOST_AUTO_TEST_CASE(an_engine_without_memory_is_no_candidate)
{
    const target_list all = twelve();
    in_flight_load load;
    load.kv_tokens = 680000;
    for (const std::shared_ptr<target_view>& target : all)
        tell(*target, load, start);
    const prompt_info document = long_prompt("doc-1", "s1");
    BOOST_TEST(
        !choose(all, request_for(document), all.front().get(), start).target);
}

BOOST_AUTO_TEST_SUITE_END()
