#include "serving/scheduling/serving_fakes.hpp"

#include <boost/test/unit_test.hpp>

using namespace hibiscusferry;

namespace
{

constexpr std::chrono::milliseconds grace{2000};

time_point at(int milliseconds)
{
    return time_point{std::chrono::milliseconds(milliseconds)};
}

target_record record(const std::string& id)
{
    return engine_record(id, "a", target_role::decode);
}

} // namespace

BOOST_AUTO_TEST_SUITE(target_catalogue_test)

BOOST_AUTO_TEST_CASE(a_row_that_disappears_takes_its_target_out_at_once)
{
    target_catalogue catalogue(grace);
    catalogue.put(record("i-1"));
    const std::vector<target_change> changes =
        catalogue.remove("i-1", at(1000));
    BOOST_REQUIRE(changes.size() == 1U);
    BOOST_TEST((changes[0].what == target_change::kind::left));
    BOOST_TEST(catalogue.targets().empty());
}

BOOST_AUTO_TEST_CASE(rows_that_expired_in_an_outage_get_a_grace)
{
    target_catalogue catalogue(grace);
    catalogue.put(record("back"));
    catalogue.put(record("gone"));
    catalogue.store_lost();
    BOOST_TEST(catalogue.remove("back", at(1000)).empty());
    BOOST_TEST(catalogue.remove("gone", at(1000)).empty());
    BOOST_TEST(catalogue.tick(at(60000)).empty());
    catalogue.store_recovered(at(60000));
    catalogue.put(record("back"));
    BOOST_TEST(catalogue.tick(at(61900)).empty());
    const std::vector<target_change> changes = catalogue.tick(at(62000));
    BOOST_REQUIRE(changes.size() == 1U);
    BOOST_TEST(changes[0].record.id == "gone");
    BOOST_TEST(catalogue.targets().count("back") == 1U);
}

BOOST_AUTO_TEST_CASE(a_leaving_target_never_comes_back_in_the_same_life)
{
    target_catalogue catalogue(grace);
    target_record leaving = record("i-1");
    catalogue.put(leaving);
    leaving.is_draining = true;
    BOOST_REQUIRE(catalogue.put(leaving).size() == 1U);
    leaving.is_draining = false;
    BOOST_TEST(catalogue.put(leaving).empty());
    BOOST_TEST(catalogue.targets().at("i-1").is_draining);

    leaving.started_at = std::chrono::milliseconds(77);
    const std::vector<target_change> restarted = catalogue.put(leaving);
    BOOST_REQUIRE(restarted.size() == 1U);
    BOOST_TEST((restarted[0].what == target_change::kind::restarted));
    BOOST_TEST(!catalogue.targets().at("i-1").is_draining);
}

BOOST_AUTO_TEST_CASE(a_snapshot_replaces_what_was_known)
{
    target_catalogue catalogue(grace);
    catalogue.put(record("old"));
    const std::vector<target_change> changes =
        catalogue.replace_all({record("new")}, at(1000));
    BOOST_TEST(changes.size() == 2U);
    BOOST_TEST(catalogue.targets().count("new") == 1U);
    BOOST_TEST(catalogue.targets().count("old") == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
