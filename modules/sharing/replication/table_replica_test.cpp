#include "sharing/sharing.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace hibiscusferry;

namespace
{

/** Hashes the text before the comma; the rest stands for a heartbeat. */
std::uint64_t content_hash(const table_row& row)
{
    return stable_hash(row.value.substr(0, row.value.find(',')));
}

table_changes changes(row_version version, std::vector<table_row> rows,
                      std::vector<std::string> deleted = {})
{
    return {std::move(rows), std::move(deleted), version};
}

std::map<std::string, std::string> contents_of(const table_replica& replica)
{
    std::map<std::string, std::string> contents;
    for (const auto& [key, row] : replica.rows())
        contents[key] = row.value.substr(0, row.value.find(','));
    return contents;
}

} // namespace

BOOST_AUTO_TEST_SUITE(table_replica_test)

BOOST_AUTO_TEST_CASE(heartbeats_are_not_changes)
{
    table_replica replica(content_hash);
    replica.replace(changes(10, {{"t/a", "ready,1", 8}}));
    const std::uint64_t before = replica.digest();
    const table_changes update =
        replica.apply(changes(12, {{"t/a", "ready,2", 12}}));
    BOOST_TEST(update.rows.empty());
    BOOST_TEST(replica.as_of() == 12U);
    BOOST_TEST(replica.digest() == before);
    BOOST_TEST(
        replica.apply(changes(14, {{"t/a", "leaving,3", 14}})).rows.size() ==
        1U);
}

BOOST_AUTO_TEST_CASE(updates_hold_the_changes_after_a_version)
{
    table_replica replica(content_hash);
    replica.replace(changes(10, {{"t/a", "x", 5}, {"t/b", "y", 6}}));
    replica.apply(changes(20, {{"t/c", "z", 15}}, {"t/b"}));
    const table_changes update = replica.changes_since(10).value();
    BOOST_REQUIRE(update.rows.size() == 1U);
    BOOST_TEST(update.rows.front().key == "t/c");
    BOOST_TEST(update.deleted == std::vector<std::string>{"t/b"},
               boost::test_tools::per_element());
    BOOST_TEST(replica.changes_since(20).value().rows.empty());
}

BOOST_AUTO_TEST_CASE(changes_before_the_first_snapshot_are_unavailable)
{
    table_replica replica(content_hash);
    replica.replace(changes(10, {{"t/a", "x", 5}}));
    BOOST_TEST(!replica.changes_since(9).has_value());
    BOOST_TEST(replica.changes_since(10).has_value());
    BOOST_TEST(replica.snapshot().rows.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_later_snapshot_reveals_deleted_rows)
{
    table_replica replica(content_hash);
    replica.replace(changes(10, {{"t/a", "x", 5}, {"t/b", "y", 6}}));
    const table_changes update =
        replica.replace(changes(30, {{"t/b", "y", 6}, {"t/c", "z", 25}}));
    BOOST_TEST(update.rows.size() == 1U);
    BOOST_TEST(update.deleted == std::vector<std::string>{"t/a"},
               boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(outdated_changes_are_ignored)
{
    table_replica replica(content_hash);
    replica.replace(changes(30, {{"t/a", "new", 25}}));
    BOOST_TEST(replica.apply(changes(20, {{"t/a", "old", 15}})).rows.empty());
    BOOST_TEST(replica.apply(changes(20, {}, {"t/a"})).deleted.empty());
    BOOST_TEST(replica.as_of() == 30U);
    BOOST_TEST(contents_of(replica).at("t/a") == "new");
}

// Guards against a host that keeps outdated rows after it switched relays. Two
// relays read a store independently, and a host receives updates from either.
// Once its replica has reached the version of the store, its rows have to be
// those of the store. Fails for a known fault, see KNOWN-RED.txt: it is
// disabled here and run as the test sharing_relay_switch, with a fixed seed.
BOOST_AUTO_TEST_CASE(a_host_that_switches_relays_converges_to_the_store,
                     *boost::unit_test::disabled())
{
    const auto property = []
    {
        row_version version = 1;
        std::map<std::string, table_row> store;
        std::vector<std::pair<row_version, std::string>> deletions;
        const auto changes_after = [&](row_version after)
        {
            table_changes update;
            update.version = version;
            for (const auto& [key, row] : store)
            {
                if (row.version > after)
                    update.rows.push_back(row);
            }
            for (const auto& [deleted_version, key] : deletions)
            {
                if (deleted_version > after && store.count(key) == 0)
                    update.deleted.push_back(key);
            }
            return update;
        };
        std::vector<table_replica> relays{table_replica(content_hash),
                                          table_replica(content_hash)};
        for (table_replica& relay : relays)
            relay.replace(changes_after(0));
        table_replica host(content_hash);
        const auto receive_from = [&](const table_replica& relay)
        {
            if (relay.as_of() < host.as_of())
                return;
            const std::optional<table_changes> update =
                relay.changes_since(host.as_of());
            if (relay.digest() != host.digest() && update)
                host.apply(*update);
            if (relay.digest() != host.digest())
                host.replace(relay.snapshot());
            host.advance(relay.as_of());
        };
        const int steps = *rc::gen::inRange(1, 60);
        for (int step = 0; step < steps; ++step)
        {
            const std::string key =
                "t/" + std::to_string(*rc::gen::inRange(0, 4));
            table_replica& relay =
                relays[static_cast<std::size_t>(*rc::gen::inRange(0, 2))];
            switch (*rc::gen::inRange(0, 5))
            {
            case 0:
                ++version;
                store[key] = {key,
                              std::to_string(*rc::gen::inRange(0, 3)) + "," +
                                  std::to_string(version),
                              version};
                break;
            case 1:
                if (store.erase(key) > 0)
                    deletions.emplace_back(++version, key);
                break;
            case 2:
                relay.apply(changes_after(relay.as_of()));
                break;
            default:
                receive_from(relay);
            }
        }
        relays[0].apply(changes_after(relays[0].as_of()));
        receive_from(relays[0]);
        std::map<std::string, std::string> expected;
        for (const auto& [key, row] : store)
            expected[key] = row.value.substr(0, row.value.find(','));
        RC_ASSERT(contents_of(host) == expected);
    };
    BOOST_TEST(rc::check(property));
}

BOOST_AUTO_TEST_SUITE_END()
