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
    BOOST_TEST(replica.as_of().version == 12U);
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
    const table_changes update = replica.changes_since({0, 10}).value();
    BOOST_REQUIRE(update.rows.size() == 1U);
    BOOST_TEST(update.rows.front().key == "t/c");
    BOOST_TEST(update.deleted == std::vector<std::string>{"t/b"},
               boost::test_tools::per_element());
    BOOST_TEST(replica.changes_since({0, 20}).value().rows.empty());
}

BOOST_AUTO_TEST_CASE(changes_before_the_first_snapshot_are_unavailable)
{
    table_replica replica(content_hash);
    replica.replace(changes(10, {{"t/a", "x", 5}}));
    BOOST_TEST(!replica.changes_since({0, 9}).has_value());
    BOOST_TEST(replica.changes_since({0, 10}).has_value());
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
    BOOST_TEST(replica.as_of().version == 30U);
    BOOST_TEST(contents_of(replica).at("t/a") == "new");
}

BOOST_AUTO_TEST_CASE(a_snapshot_restores_the_older_version_of_a_reverted_row)
{
    table_replica replica(content_hash);
    replica.replace(changes(10, {{"t/a", "x", 5}}));
    replica.apply(changes(20, {{"t/a", "y", 15}}));
    // The sender read the change and its reversal together as no change.
    const table_changes update =
        replica.replace(changes(30, {{"t/a", "x", 5}}));
    BOOST_TEST(update.rows.size() == 1U);
    BOOST_TEST(contents_of(replica).at("t/a") == "x");
}

BOOST_AUTO_TEST_CASE(a_snapshot_of_a_new_era_replaces_rows_of_higher_versions)
{
    table_replica replica(content_hash);
    replica.replace(changes(30, {{"t/a", "lost", 25}, {"t/b", "lost", 26}}));
    table_changes restored = changes(20, {{"t/a", "kept", 15}});
    restored.era = 1;
    const table_changes update = replica.replace(restored);
    BOOST_TEST(update.rows.size() == 1U);
    BOOST_TEST(update.deleted == std::vector<std::string>{"t/b"},
               boost::test_tools::per_element());
    BOOST_TEST((replica.as_of() == store_position{1, 20}));
    BOOST_TEST(!replica.changes_since({0, 25}).has_value());
    BOOST_TEST(replica.changes_since({1, 20}).has_value());
}

BOOST_AUTO_TEST_CASE(updates_of_an_older_era_are_ignored)
{
    table_replica replica(content_hash);
    table_changes restored = changes(20, {{"t/a", "kept", 15}});
    restored.era = 2;
    replica.replace(restored);
    table_changes outdated = changes(90, {{"t/a", "lost", 80}});
    outdated.era = 1;
    BOOST_TEST(replica.replace(outdated).rows.empty());
    BOOST_TEST(replica.apply(outdated).rows.empty());
    BOOST_TEST((replica.as_of() == store_position{2, 20}));
    BOOST_TEST(contents_of(replica).at("t/a") == "kept");
}

namespace
{

/** A store that can be restored from an older copy of itself. */
struct restorable_store
{
    struct state
    {
        row_version version = 1;
        std::map<std::string, table_row> rows;
        std::vector<std::pair<row_version, std::string>> deletions;
    };

    state current;
    state copy;
    std::uint64_t era = 0;

    void write(const std::string& key, int content)
    {
        ++current.version;
        current.rows[key] = {key,
                             std::to_string(content) + "," +
                                 std::to_string(current.version),
                             current.version};
    }

    void remove(const std::string& key)
    {
        if (current.rows.erase(key) > 0)
            current.deletions.emplace_back(++current.version, key);
    }

    void restore()
    {
        current = copy;
        ++era;
    }

    table_changes changes_after(row_version after) const
    {
        table_changes update;
        update.version = current.version;
        update.era = era;
        for (const auto& [key, row] : current.rows)
        {
            if (row.version > after)
                update.rows.push_back(row);
        }
        for (const auto& [deleted_version, key] : current.deletions)
        {
            if (deleted_version > after && current.rows.count(key) == 0)
                update.deleted.push_back(key);
        }
        return update;
    }

    void update(table_replica& replica) const
    {
        if (replica.as_of().era != era)
            replica.replace(changes_after(0));
        else
            replica.apply(changes_after(replica.as_of().version));
    }
};

/** Updates a replica from another one, as between a host and its relay. */
void update_from_relay(table_replica& host, const table_replica& relay)
{
    if (relay.as_of() < host.as_of())
        return;
    const std::optional<table_changes> update =
        relay.changes_since(host.as_of());
    const bool is_same_era = relay.as_of().era == host.as_of().era;
    if (is_same_era && relay.digest() != host.digest() && update)
        host.apply(*update);
    if (!is_same_era || relay.digest() != host.digest())
        host.replace(relay.snapshot());
    host.advance(relay.as_of());
}

} // namespace

// Guards against a host that keeps outdated rows after it switched relays, or
// after the store was restored from an older copy. Two relays read a store
// independently, and a host receives updates from either. Once its replica has
// reached the position of the store, its rows have to be those of the store.
BOOST_AUTO_TEST_CASE(a_host_that_switches_relays_converges_to_the_store)
{
    const auto property = []
    {
        restorable_store store;
        std::vector<table_replica> relays{table_replica(content_hash),
                                          table_replica(content_hash)};
        for (table_replica& relay : relays)
            relay.replace(store.changes_after(0));
        table_replica host(content_hash);
        const int steps = *rc::gen::inRange(1, 60);
        for (int step = 0; step < steps; ++step)
        {
            const std::string key =
                "t/" + std::to_string(*rc::gen::inRange(0, 4));
            table_replica& relay =
                relays[static_cast<std::size_t>(*rc::gen::inRange(0, 2))];
            switch (*rc::gen::inRange(0, 9))
            {
            case 0:
            case 1:
                store.write(key, *rc::gen::inRange(0, 3));
                break;
            case 2:
                store.remove(key);
                break;
            case 3:
                store.copy = store.current;
                break;
            case 4:
                if (*rc::gen::inRange(0, 3) == 0)
                    store.restore();
                break;
            case 5:
            case 6:
                store.update(relay);
                break;
            default:
                update_from_relay(host, relay);
            }
        }
        store.update(relays[0]);
        update_from_relay(host, relays[0]);
        std::map<std::string, std::string> expected;
        for (const auto& [key, row] : store.current.rows)
            expected[key] = row.value.substr(0, row.value.find(','));
        RC_ASSERT(contents_of(host) == expected);
    };
    BOOST_TEST(rc::check(property));
}

BOOST_AUTO_TEST_SUITE_END()
