#include "sharing/sharing.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace hibiscusferry;

namespace
{

/** The text before a comma is the meaning, the rest a heartbeat. */
std::uint64_t content_hash(const table_row& row)
{
    return stable_hash(row.value.substr(0, row.value.find(',')));
}

table_changes changes(row_version version, std::vector<table_row> rows,
                      std::vector<std::string> deleted = {})
{
    return {std::move(rows), std::move(deleted), version};
}

std::map<std::string, std::string> meanings(const table_replica& replica)
{
    std::map<std::string, std::string> read;
    for (const auto& [key, row] : replica.rows())
        read[key] = row.value.substr(0, row.value.find(','));
    return read;
}

} // namespace

BOOST_AUTO_TEST_SUITE(row_mirror_test)

BOOST_AUTO_TEST_CASE(heartbeats_are_no_news)
{
    table_replica replica(content_hash);
    replica.replace(changes(10, {{"t/a", "ready,1", 8}}));
    const std::uint64_t before = replica.digest();
    const table_changes update =
        replica.take(changes(12, {{"t/a", "ready,2", 12}}));
    BOOST_TEST(update.rows.empty());
    BOOST_TEST(replica.as_of() == 12U);
    BOOST_TEST(replica.digest() == before);
    BOOST_TEST(
        replica.take(changes(14, {{"t/a", "leaving,3", 14}})).rows.size() ==
        1U);
}

BOOST_AUTO_TEST_CASE(a_reader_is_told_what_is_new_to_it)
{
    table_replica replica(content_hash);
    replica.replace(changes(10, {{"t/a", "x", 5}, {"t/b", "y", 6}}));
    replica.take(changes(20, {{"t/c", "z", 15}}, {"t/b"}));
    const table_changes update = replica.since(10).value();
    BOOST_REQUIRE(update.rows.size() == 1U);
    BOOST_TEST(update.rows.front().key == "t/c");
    BOOST_TEST(update.deleted == std::vector<std::string>{"t/b"},
               boost::test_tools::per_element());
    BOOST_TEST(replica.since(20).value().rows.empty());
}

BOOST_AUTO_TEST_CASE(a_reader_from_before_the_first_snapshot_gets_the_whole)
{
    table_replica replica(content_hash);
    replica.replace(changes(10, {{"t/a", "x", 5}}));
    BOOST_TEST(!replica.since(9).has_value());
    BOOST_TEST(replica.since(10).has_value());
    BOOST_TEST(replica.all().rows.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_snapshot_after_lost_history_tells_what_is_gone)
{
    table_replica replica(content_hash);
    replica.replace(changes(10, {{"t/a", "x", 5}, {"t/b", "y", 6}}));
    const table_changes update =
        replica.replace(changes(30, {{"t/b", "y", 6}, {"t/c", "z", 25}}));
    BOOST_TEST(update.rows.size() == 1U);
    BOOST_TEST(update.deleted == std::vector<std::string>{"t/a"},
               boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(late_news_undo_nothing)
{
    table_replica replica(content_hash);
    replica.replace(changes(30, {{"t/a", "new", 25}}));
    BOOST_TEST(replica.take(changes(20, {{"t/a", "old", 15}})).rows.empty());
    BOOST_TEST(replica.take(changes(20, {}, {"t/a"})).deleted.empty());
    BOOST_TEST(replica.as_of() == 30U);
    BOOST_TEST(meanings(replica).at("t/a") == "new");
}

// A store, two relays that read it at their own times, and a host that hears
// now one and now the other. Whenever it is as far as the store, it knows the
// same rows.
BOOST_AUTO_TEST_CASE(a_host_that_changes_relays_ends_with_the_stores_rows)
{
    const auto property = []
    {
        row_version version = 1;
        std::map<std::string, table_row> store;
        std::vector<std::pair<row_version, std::string>> dropped;
        const auto read_after = [&](row_version after)
        {
            table_changes update;
            update.version = version;
            for (const auto& [key, row] : store)
            {
                if (row.version > after)
                    update.rows.push_back(row);
            }
            for (const auto& [at, key] : dropped)
            {
                if (at > after && store.count(key) == 0)
                    update.deleted.push_back(key);
            }
            return update;
        };
        std::vector<table_replica> relays{table_replica(content_hash),
                                          table_replica(content_hash)};
        for (table_replica& relay : relays)
            relay.replace(read_after(0));
        table_replica host(content_hash);
        const auto hear = [&](const table_replica& relay)
        {
            if (relay.as_of() < host.as_of())
                return;
            const std::optional<table_changes> update =
                relay.since(host.as_of());
            if (relay.digest() != host.digest() && update)
                host.take(*update);
            if (relay.digest() != host.digest())
                host.replace(relay.all());
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
                    dropped.emplace_back(++version, key);
                break;
            case 2:
                relay.take(read_after(relay.as_of()));
                break;
            default:
                hear(relay);
            }
        }
        relays[0].take(read_after(relays[0].as_of()));
        hear(relays[0]);
        std::map<std::string, std::string> expected;
        for (const auto& [key, row] : store)
            expected[key] = row.value.substr(0, row.value.find(','));
        RC_ASSERT(meanings(host) == expected);
    };
    BOOST_TEST(rc::check(property));
}

BOOST_AUTO_TEST_SUITE_END()
