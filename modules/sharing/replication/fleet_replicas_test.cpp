#include "sharing/sharing.hpp"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

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

BOOST_AUTO_TEST_SUITE(fleet_replicas_test)

BOOST_AUTO_TEST_CASE(the_age_counts_from_the_latest_current_state)
{
    fleet_replicas replicas(content_hash);
    BOOST_TEST(replicas.age(fleet_table::targets, at(5000)).count() > 100000);
    replicas.mark_current(fleet_table::targets, at(5000));
    BOOST_TEST(replicas.age(fleet_table::targets, at(5300)).count() == 300);
    replicas.mark_current(fleet_table::targets, at(4000));
    BOOST_TEST(replicas.age(fleet_table::targets, at(5300)).count() == 300);
}

// Guards against a replica that counts as current for ever.
BOOST_AUTO_TEST_CASE(odd_numbers_of_another_host_have_no_effect)
{
    const auto decoded = [](const nlohmann::json& age_ms,
                            const nlohmann::json& version,
                            const nlohmann::json& row_version)
    {
        const std::vector<std::uint8_t> bytes =
            nlohmann::json::to_cbor(nlohmann::json::array(
                {{{"table", 1},
                  {"whole", true},
                  {"era", 0},
                  {"version", version},
                  {"digest", 0},
                  {"age_ms", age_ms},
                  {"rows", nlohmann::json::array({nlohmann::json::array(
                               {"k", "v", row_version})})},
                  {"deleted", nlohmann::json::array()}}}));
        return decode_updates({bytes.begin(), bytes.end()});
    };
    BOOST_TEST(decoded(5U, 7U, 7U).value().front().age.count() == 5);
    for (const std::uint64_t age_ms :
         {std::uint64_t{1} << 62, std::uint64_t{1} << 63, UINT64_MAX})
    {
        const time_point now = at(5000);
        fleet_replicas replicas(content_hash);
        replicas.mark_current(fleet_table::targets,
                              now -
                                  decoded(age_ms, 7U, 7U).value().front().age);
        BOOST_TEST(replicas.age(fleet_table::targets, now).count() > 100000);
    }
    for (const nlohmann::json& odd :
         {nlohmann::json(-1), nlohmann::json(1.5), nlohmann::json(1e300),
          nlohmann::json("1"), nlohmann::json(nullptr)})
    {
        BOOST_TEST(!decoded(odd, 7U, 7U));
        BOOST_TEST(!decoded(5U, odd, 7U));
        BOOST_TEST(!decoded(5U, 7U, odd));
    }
}

BOOST_AUTO_TEST_CASE(updates_hold_only_new_changes_and_survive_encoding)
{
    fleet_replicas replicas(content_hash);
    replicas.replica(fleet_table::configuration)
        .replace({{{"op/config", "{}", 3}}, {}, 9});
    replicas.replica(fleet_table::targets)
        .replace({{{"servers/a", std::string("\x00\xff", 2), 4}}, {}, 9});
    replicas.replica(fleet_table::targets).apply({{}, {"servers/a"}, 12});
    const std::vector<table_update> updates =
        decode_updates(encode_updates(replicas.changes_since(
                           {{{0, 9}, {0, 9}, {}}}, at(0))))
            .value();
    BOOST_REQUIRE(updates.size() == 1U);
    BOOST_TEST((updates.front().table == fleet_table::targets));
    BOOST_TEST(!updates.front().is_snapshot);
    BOOST_TEST(updates.front().changes.version == 12U);
    BOOST_TEST(updates.front().changes.deleted ==
                   std::vector<std::string>{"servers/a"},
               boost::test_tools::per_element());

    const std::vector<table_update> full_updates =
        decode_updates(
            encode_updates(replicas.changes_since({{{}, {0, 9}, {}}}, at(0))))
            .value();
    BOOST_REQUIRE(full_updates.size() == 2U);
    BOOST_TEST(full_updates.front().is_snapshot);
    BOOST_TEST(full_updates.front().changes.rows.front().value == "{}");
}

BOOST_AUTO_TEST_CASE(malformed_updates_are_rejected)
{
    BOOST_TEST(!decode_updates(""));
    BOOST_TEST(!decode_updates("{}"));
    BOOST_TEST(!decode_updates("\x81\x01"));
}

BOOST_AUTO_TEST_SUITE_END()
