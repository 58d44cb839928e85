#include "sharing/sharing.hpp"

#include <boost/test/unit_test.hpp>

using namespace hibiscusferry;

namespace
{

std::uint64_t content_hash(const table_row& row)
{
    return stable_hash(row.value);
}

time_point at(int milliseconds)
{
    return time_point{std::chrono::milliseconds(milliseconds)};
}

} // namespace

BOOST_AUTO_TEST_SUITE(fleet_news_test)

BOOST_AUTO_TEST_CASE(news_carry_their_age)
{
    fleet_replicas replicas(content_hash);
    BOOST_TEST(replicas.age(fleet_table::targets, at(5000)).count() > 100000);
    replicas.set_current(fleet_table::targets, at(5000));
    BOOST_TEST(replicas.age(fleet_table::targets, at(5300)).count() == 300);
    replicas.set_current(fleet_table::targets, at(4000));
    BOOST_TEST(replicas.age(fleet_table::targets, at(5300)).count() == 300);
}

BOOST_AUTO_TEST_CASE(only_what_is_new_is_told_and_read_as_written)
{
    fleet_replicas replicas(content_hash);
    replicas.replica(fleet_table::configuration)
        .replace({{{"op/config", "{}", 3}}, {}, 9});
    replicas.replica(fleet_table::targets)
        .replace({{{"servers/a", std::string("\x00\xff", 2), 4}}, {}, 9});
    replicas.replica(fleet_table::targets).take({{}, {"servers/a"}, 12});
    const std::vector<table_update> told =
        decode_updates(encode_updates(replicas.since({9, 9, 0}, at(0))))
            .value();
    BOOST_REQUIRE(told.size() == 1U);
    BOOST_TEST((told.front().table == fleet_table::targets));
    BOOST_TEST(!told.front().is_whole);
    BOOST_TEST(told.front().changes.version == 12U);
    BOOST_TEST(told.front().changes.deleted ==
                   std::vector<std::string>{"servers/a"},
               boost::test_tools::per_element());

    const std::vector<table_update> whole =
        decode_updates(encode_updates(replicas.since({0, 9, 0}, at(0))))
            .value();
    BOOST_REQUIRE(whole.size() == 2U);
    BOOST_TEST(whole.front().is_whole);
    BOOST_TEST(whole.front().changes.rows.front().value == "{}");
}

BOOST_AUTO_TEST_CASE(other_bytes_are_no_news)
{
    BOOST_TEST(!decode_updates(""));
    BOOST_TEST(!decode_updates("{}"));
    BOOST_TEST(!decode_updates("\x81\x01"));
}

BOOST_AUTO_TEST_SUITE_END()
