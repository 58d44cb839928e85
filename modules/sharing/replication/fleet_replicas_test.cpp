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

namespace
{

constexpr std::size_t configuration_index = 0;
const std::string configuration_key = "op/config";

/** A large text with one line for each number, one of which may differ. */
std::string large_text(int changed_line, int version)
{
    constexpr int lines = 2000;
    std::string text;
    for (int line = 0; line < lines; ++line)
        text += sha256_hex(std::to_string(line) + "/" +
                           std::to_string(line == changed_line ? version : 0));
    return text;
}

/** Replicas whose configuration is at a version. */
void put_configuration(fleet_replicas& replicas, const std::string& text,
                       row_version version)
{
    table_replica& replica = replicas.replica(fleet_table::configuration);
    const table_changes changes{
        {{configuration_key, text, version}}, {}, version};
    if (replica.as_of().version == 0)
        replica.replace(changes);
    else
        replica.apply(changes);
}

const std::string& configuration_of(const fleet_replicas& replicas)
{
    return replicas.replica(fleet_table::configuration)
        .rows()
        .at(configuration_key)
        .value;
}

/** What a host receives that includes all changes up to a position. */
std::vector<table_update> receive(fleet_replicas& relay,
                                  const store_position& known,
                                  std::size_t& message_bytes)
{
    std::array<store_position, fleet_table_count> positions{};
    positions[configuration_index] = known;
    const std::string message =
        encode_updates(relay.compressed_changes_since(positions, at(0)));
    message_bytes = message.size();
    return decode_updates(message).value();
}

} // namespace

BOOST_AUTO_TEST_CASE(a_change_of_a_large_row_is_sent_as_its_difference)
{
    fleet_replicas relay(content_hash);
    fleet_replicas host(content_hash);
    put_configuration(relay, large_text(-1, 0), 10);
    put_configuration(host, large_text(-1, 0), 10);
    put_configuration(relay, large_text(700, 1), 20);
    put_configuration(relay, large_text(1300, 2), 30);
    std::size_t bytes = 0;
    std::vector<table_update> updates = receive(relay, {0, 10}, bytes);
    BOOST_TEST(bytes < 1000U);
    BOOST_REQUIRE(updates.size() == 1U);
    BOOST_REQUIRE(host.restore_rows(updates.front()).has_value());
    host.replica(fleet_table::configuration).apply(updates.front().changes);
    BOOST_TEST((configuration_of(host) == large_text(1300, 2)));
    BOOST_TEST(host.replica(fleet_table::configuration).digest() ==
               updates.front().digest);
}

BOOST_AUTO_TEST_CASE(a_difference_from_another_base_is_not_applied)
{
    fleet_replicas relay(content_hash);
    fleet_replicas host(content_hash);
    put_configuration(relay, large_text(-1, 0), 10);
    put_configuration(host, large_text(5, 9), 10);
    put_configuration(relay, large_text(700, 1), 20);
    std::size_t bytes = 0;
    std::vector<table_update> updates = receive(relay, {0, 10}, bytes);
    BOOST_TEST(!host.restore_rows(updates.front()).has_value());
    fleet_replicas empty(content_hash);
    BOOST_TEST(!empty.restore_rows(updates.front()).has_value());
}

BOOST_AUTO_TEST_CASE(a_large_row_without_a_base_is_sent_whole)
{
    fleet_replicas relay(content_hash);
    put_configuration(relay, large_text(-1, 0), 10);
    std::size_t bytes = 0;
    std::vector<table_update> updates = receive(relay, {}, bytes);
    BOOST_TEST(updates.front().is_snapshot);
    BOOST_TEST(bytes < large_text(-1, 0).size());
    fleet_replicas host(content_hash);
    BOOST_REQUIRE(host.restore_rows(updates.front()).has_value());
    BOOST_TEST(
        (updates.front().changes.rows.front().value == large_text(-1, 0)));
}

// More versions than are retained, and a new era in between.
BOOST_AUTO_TEST_CASE(hosts_far_behind_receive_large_rows_too)
{
    fleet_replicas relay(content_hash);
    fleet_replicas host(content_hash);
    put_configuration(relay, large_text(-1, 0), 10);
    put_configuration(host, large_text(-1, 0), 10);
    row_version row = 10;
    for (int version = 1; version <= 20; ++version)
    {
        row += 10;
        put_configuration(relay, large_text(version, version), row);
    }
    std::size_t bytes = 0;
    std::vector<table_update> updates = receive(relay, {0, 10}, bytes);
    BOOST_REQUIRE(host.restore_rows(updates.front()).has_value());
    BOOST_TEST(
        (updates.front().changes.rows.front().value == large_text(20, 20)));
    table_changes restored{{{configuration_key, large_text(3, 3), 5}}, {}, 300};
    restored.era = 1;
    relay.replica(fleet_table::configuration).replace(restored);
    updates = receive(relay, {0, 10}, bytes);
    BOOST_REQUIRE(host.restore_rows(updates.front()).has_value());
    BOOST_TEST(
        (updates.front().changes.rows.front().value == large_text(3, 3)));
}

BOOST_AUTO_TEST_CASE(malformed_updates_are_rejected)
{
    BOOST_TEST(!decode_updates(""));
    BOOST_TEST(!decode_updates("{}"));
    BOOST_TEST(!decode_updates("\x81\x01"));
}

BOOST_AUTO_TEST_SUITE_END()
