#include "serving/scheduling/serving_fakes.hpp"

#include <boost/test/unit_test.hpp>

using namespace hibiscusferry;

namespace
{

constexpr std::chrono::milliseconds max_list_age{2000};
constexpr std::chrono::milliseconds stream_duration{10000};

/** A history whose list of targets is confirmed every second. */
class observed_history
{
public:
    void put(const std::string& id, const std::string& version,
             target_change::kind type = target_change::kind::joined)
    {
        target_record record = make_engine_record(id, "a", target_role::decode);
        record.software_version = version;
        history.apply({type, record}, now);
    }

    void remove(const std::string& id)
    {
        put(id, "", target_change::kind::removed);
    }

    void observe(std::chrono::seconds duration)
    {
        for (int second = 0; second < duration.count(); ++second)
        {
            now += std::chrono::seconds(1);
            history.confirm_list(now);
        }
    }

    std::string only_version() const
    {
        return history.only_version("llm", stream_duration, now)
            .value_or("none");
    }

    software_version_history history{max_list_age};
    time_point now{std::chrono::seconds(100)};
};

} // namespace

BOOST_AUTO_TEST_SUITE(software_version_history_test)

BOOST_AUTO_TEST_CASE(a_version_is_known_after_the_duration_of_a_stream)
{
    observed_history observed;
    BOOST_TEST(observed.only_version() == "none");
    observed.put("i-1", "v1");
    observed.put("i-2", "v1");
    observed.observe(std::chrono::seconds(12));
    BOOST_TEST(observed.only_version() == "none");
    observed.observe(std::chrono::seconds(1));
    BOOST_TEST(observed.only_version() == "v1");
    BOOST_TEST(
        !observed.history.only_version("other", stream_duration, observed.now));
}

BOOST_AUTO_TEST_CASE(a_second_version_counts_as_long_as_its_streams_may_last)
{
    observed_history observed;
    observed.put("i-1", "v1");
    observed.observe(std::chrono::seconds(20));
    observed.put("i-2", "v2");
    BOOST_TEST(observed.only_version() == "none");
    observed.observe(std::chrono::seconds(20));
    BOOST_TEST(observed.only_version() == "none");
    observed.remove("i-2");
    observed.observe(std::chrono::seconds(12));
    BOOST_TEST(observed.only_version() == "none");
    observed.observe(std::chrono::seconds(1));
    BOOST_TEST(observed.only_version() == "v1");
}

BOOST_AUTO_TEST_CASE(a_target_that_changes_its_version_used_the_former_one)
{
    observed_history observed;
    observed.put("i-1", "v1");
    observed.observe(std::chrono::seconds(20));
    observed.put("i-1", "v2", target_change::kind::restarted);
    BOOST_TEST(observed.only_version() == "none");
    observed.observe(std::chrono::seconds(12));
    BOOST_TEST(observed.only_version() == "none");
    observed.observe(std::chrono::seconds(1));
    BOOST_TEST(observed.only_version() == "v2");
}

BOOST_AUTO_TEST_CASE(a_draining_target_still_counts)
{
    observed_history observed;
    observed.put("i-1", "v1");
    observed.put("i-2", "v2");
    observed.put("i-2", "v2", target_change::kind::draining);
    observed.observe(std::chrono::seconds(20));
    BOOST_TEST(observed.only_version() == "none");
}

BOOST_AUTO_TEST_CASE(a_version_without_targets_is_not_returned)
{
    observed_history observed;
    observed.put("i-1", "v1");
    observed.observe(std::chrono::seconds(20));
    observed.remove("i-1");
    BOOST_TEST(observed.only_version() == "none");
    observed.observe(std::chrono::seconds(20));
    BOOST_TEST(observed.only_version() == "none");
}

// A target of another version may have served during the gap.
BOOST_AUTO_TEST_CASE(a_gap_in_the_observation_starts_it_anew)
{
    observed_history observed;
    observed.put("i-1", "v1");
    observed.observe(std::chrono::seconds(20));
    BOOST_TEST(observed.only_version() == "v1");
    observed.now += std::chrono::seconds(3);
    BOOST_TEST(observed.only_version() == "none");
    observed.observe(std::chrono::seconds(12));
    BOOST_TEST(observed.only_version() == "none");
    observed.observe(std::chrono::seconds(1));
    BOOST_TEST(observed.only_version() == "v1");
}

// A target of another version may have joined since.
BOOST_AUTO_TEST_CASE(a_list_from_before_the_end_of_the_stream_is_not_sufficient)
{
    observed_history observed;
    observed.put("i-1", "v1");
    observed.observe(std::chrono::seconds(20));
    const time_point confirmed_at = observed.now;
    observed.now += std::chrono::milliseconds(1);
    BOOST_TEST(observed.only_version() == "none");
    BOOST_TEST(
        observed.history.expected_version("llm", stream_duration, observed.now)
            .value() == "v1");
    observed.history.confirm_list(confirmed_at);
    BOOST_TEST(observed.only_version() == "none");
    observed.history.confirm_list(observed.now);
    BOOST_TEST(observed.only_version() == "v1");
}

BOOST_AUTO_TEST_CASE(an_older_confirmation_does_not_shorten_the_observation)
{
    observed_history observed;
    observed.put("i-1", "v1");
    observed.observe(std::chrono::seconds(20));
    observed.history.confirm_list(observed.now - std::chrono::seconds(15));
    BOOST_TEST(observed.only_version() == "v1");
}

// Rows of many versions must not fill the memory.
BOOST_AUTO_TEST_CASE(forgotten_versions_start_the_observation_anew)
{
    observed_history observed;
    observed.observe(std::chrono::seconds(20));
    for (int number = 0; number < 100; ++number)
    {
        const std::string id = "i-" + std::to_string(number);
        observed.put(id, "v" + std::to_string(number));
        observed.remove(id);
    }
    observed.put("i-1", "v1");
    BOOST_TEST(observed.only_version() == "none");
    observed.observe(std::chrono::seconds(10));
    BOOST_TEST(observed.only_version() == "none");
    observed.observe(std::chrono::seconds(4));
    BOOST_TEST(observed.only_version() == "v1");
}

BOOST_AUTO_TEST_SUITE_END()
