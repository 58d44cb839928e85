#include "serving/scheduling/serving_fakes.hpp"

#include <boost/test/unit_test.hpp>

using namespace hibiscusferry;

namespace
{

constexpr std::chrono::milliseconds grace_period{2000};

time_point at_ms(int milliseconds)
{
    return time_point{std::chrono::milliseconds(milliseconds)};
}

target_record make_record(const std::string& id)
{
    return make_engine_record(id, "a", target_role::decode);
}

} // namespace

BOOST_AUTO_TEST_SUITE(target_catalogue_test)

BOOST_AUTO_TEST_CASE(removing_a_row_removes_its_target_at_once)
{
    target_catalogue catalogue(grace_period);
    catalogue.put(make_record("i-1"));
    const std::vector<target_change> changes =
        catalogue.remove("i-1", at_ms(1000));
    BOOST_REQUIRE(changes.size() == 1U);
    BOOST_TEST((changes[0].type == target_change::kind::removed));
    BOOST_TEST(catalogue.targets().empty());
}

BOOST_AUTO_TEST_CASE(rows_that_expired_during_an_outage_have_a_grace_period)
{
    target_catalogue catalogue(grace_period);
    catalogue.put(make_record("back"));
    catalogue.put(make_record("gone"));
    catalogue.store_lost();
    BOOST_TEST(catalogue.remove("back", at_ms(1000)).empty());
    BOOST_TEST(catalogue.remove("gone", at_ms(1000)).empty());
    BOOST_TEST(catalogue.tick(at_ms(60000)).empty());
    catalogue.store_recovered(at_ms(60000));
    catalogue.put(make_record("back"));
    BOOST_TEST(catalogue.tick(at_ms(61900)).empty());
    const std::vector<target_change> changes = catalogue.tick(at_ms(62000));
    BOOST_REQUIRE(changes.size() == 1U);
    BOOST_TEST(changes[0].record.id == "gone");
    BOOST_TEST(catalogue.targets().count("back") == 1U);
}

BOOST_AUTO_TEST_CASE(a_row_that_became_unreadable_has_no_grace_period)
{
    target_catalogue catalogue(grace_period);
    catalogue.put(make_record("odd"));
    catalogue.put(make_record("missing"));
    catalogue.store_lost();
    catalogue.store_recovered(at_ms(1000));
    BOOST_TEST(catalogue.remove("odd", at_ms(1100)).empty());
    BOOST_TEST(catalogue.remove("missing", at_ms(1100)).empty());
    const std::vector<target_change> changes = catalogue.mark_unreadable("odd");
    BOOST_REQUIRE(changes.size() == 1U);
    BOOST_TEST((changes[0].type == target_change::kind::removed));
    BOOST_TEST(catalogue.targets().count("odd") == 0U);
    BOOST_TEST(catalogue.targets().count("missing") == 1U);
    BOOST_TEST(catalogue.mark_unreadable("odd").empty());
    BOOST_TEST(catalogue.put(make_record("odd")).size() == 1U);
    BOOST_TEST(catalogue.tick(at_ms(60000)).size() == 1U);
    BOOST_TEST(catalogue.targets().count("odd") == 1U);
}

BOOST_AUTO_TEST_CASE(a_new_software_version_is_reported)
{
    target_catalogue catalogue(grace_period);
    target_record record = make_record("i-1");
    record.software_version = "v1";
    catalogue.put(record);
    BOOST_TEST(catalogue.put(record).empty());
    const std::uint64_t first_hash = hash_of(record);

    record.software_version = "v2";
    BOOST_TEST(hash_of(record) != first_hash);
    const std::vector<target_change> updated = catalogue.put(record);
    BOOST_REQUIRE(updated.size() == 1U);
    BOOST_TEST((updated[0].type == target_change::kind::updated));
    BOOST_TEST(updated[0].record.software_version == "v2");

    record.software_version = "v3";
    record.started_at = std::chrono::milliseconds(1);
    const std::vector<target_change> restarted = catalogue.put(record);
    BOOST_REQUIRE(restarted.size() == 1U);
    BOOST_TEST((restarted[0].type == target_change::kind::restarted));
    BOOST_TEST(restarted[0].record.software_version == "v3");
}

BOOST_AUTO_TEST_CASE(a_draining_target_keeps_draining_within_its_incarnation)
{
    target_catalogue catalogue(grace_period);
    target_record draining_record = make_record("i-1");
    catalogue.put(draining_record);
    draining_record.is_draining = true;
    BOOST_REQUIRE(catalogue.put(draining_record).size() == 1U);
    draining_record.is_draining = false;
    BOOST_TEST(catalogue.put(draining_record).empty());
    BOOST_TEST(catalogue.targets().at("i-1").is_draining);

    draining_record.started_at = std::chrono::milliseconds(77);
    const std::vector<target_change> restarted = catalogue.put(draining_record);
    BOOST_REQUIRE(restarted.size() == 1U);
    BOOST_TEST((restarted[0].type == target_change::kind::restarted));
    BOOST_TEST(!catalogue.targets().at("i-1").is_draining);
}

BOOST_AUTO_TEST_CASE(a_snapshot_replaces_all_targets)
{
    target_catalogue catalogue(grace_period);
    catalogue.put(make_record("old"));
    const std::vector<target_change> changes =
        catalogue.replace_all({make_record("new")}, at_ms(1000));
    BOOST_TEST(changes.size() == 2U);
    BOOST_TEST(catalogue.targets().count("new") == 1U);
    BOOST_TEST(catalogue.targets().count("old") == 0U);
}

// After a store was restored from an older copy, the row of a target that has
// left appears again and says that the target is ready.
BOOST_AUTO_TEST_CASE(a_target_that_has_left_is_not_used_if_its_row_returns)
{
    target_catalogue catalogue{std::chrono::milliseconds(2000)};
    const time_point now{std::chrono::seconds(1)};
    target_record record;
    record.id = "t1";
    record.started_at = std::chrono::milliseconds(1000);
    catalogue.put(record);
    const std::vector<target_change> leaving =
        catalogue.mark_leaving("t1", std::chrono::milliseconds(1000));
    BOOST_REQUIRE(leaving.size() == 1U);
    BOOST_TEST((leaving.front().type == target_change::kind::draining));
    BOOST_TEST(
        catalogue.mark_leaving("t1", std::chrono::milliseconds(1000)).empty());
    BOOST_TEST(catalogue.put(record).empty());
    catalogue.remove("t1", now);
    const std::vector<target_change> returned = catalogue.put(record);
    BOOST_REQUIRE(returned.size() == 1U);
    BOOST_TEST((returned.front().type == target_change::kind::draining));
    record.started_at = std::chrono::milliseconds(9000);
    const std::vector<target_change> restarted = catalogue.put(record);
    BOOST_REQUIRE(restarted.size() == 1U);
    BOOST_TEST((restarted.front().type == target_change::kind::restarted));
    BOOST_TEST(!restarted.front().record.is_draining);
}

BOOST_AUTO_TEST_CASE(a_late_announcement_does_not_affect_the_next_incarnation)
{
    target_catalogue catalogue{std::chrono::milliseconds(2000)};
    target_record record;
    record.id = "t1";
    record.started_at = std::chrono::milliseconds(9000);
    catalogue.put(record);
    BOOST_TEST(
        catalogue.mark_leaving("t1", std::chrono::milliseconds(1000)).empty());
    BOOST_TEST(
        catalogue.mark_leaving("t2", std::chrono::milliseconds(1000)).empty());
}

BOOST_AUTO_TEST_SUITE_END()
