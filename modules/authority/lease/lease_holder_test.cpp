#include "authority/authority.hpp"

#include <boost/test/unit_test.hpp>

using namespace hibiscusferry;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

/** A process with its own connection to the table, which can drop responses. */
struct lease_process
{
    lease_process(const std::string& host, memory_table& store)
        : identifiers(stable_hash(host))
        , lease("nl-west", "desk", {host, identifiers.next()}, {}, identifiers)
        , table(store)
    {
        lease.set_live_hosts({"a", "b", "c"});
    }

    void perform(lease_actions actions, time_point now)
    {
        while (true)
        {
            if (actions.change != lease_change::none)
                changes.push_back(actions.change);
            if (actions.read && can_read)
                actions = lease.row_read(table.read(lease.key()), now);
            else if (actions.read)
                actions = lease.row_read(outcome_unknown(), now);
            else if (actions.commit && !can_write)
                actions = lease.commit_finished(actions.commit->write_id,
                                                outcome_unknown(), now);
            else if (actions.commit && !can_receive)
            {
                table.commit(*actions.commit);
                actions = lease.commit_finished(actions.commit->write_id,
                                                outcome_unknown(), now);
            }
            else if (actions.commit)
                actions =
                    lease.commit_finished(actions.commit->write_id,
                                          table.commit(*actions.commit), now);
            else
                return;
        }
    }

    void tick(time_point now)
    {
        perform(lease.tick(now), now);
    }

    static std::error_code outcome_unknown()
    {
        return make_error_code(platform_error::outcome_unknown);
    }

    identifier_source identifiers;
    lease_holder lease;
    memory_table& table;
    bool can_read = true;
    bool can_write = true;
    bool can_receive = true;
    std::vector<lease_change> changes;
};

/** Three processes ranked for one lease; `first` holds it at the start. */
struct lease_fixture
{
    lease_fixture()
    {
        for (lease_process* process : {&a, &b, &c})
        {
            if (process->lease.rank() == 0)
                first = process;
            if (process->lease.rank() == 1)
                second = process;
        }
        run(milliseconds(100), {first});
        BOOST_REQUIRE(first->lease.may_act(now));
    }

    void run(milliseconds duration, const std::vector<lease_process*>& running)
    {
        const time_point end = now + duration;
        while (now < end)
        {
            now += milliseconds(50);
            for (lease_process* process : running)
                process->tick(now);
            const int acting = static_cast<int>(a.lease.may_act(now)) +
                               static_cast<int>(b.lease.may_act(now)) +
                               static_cast<int>(c.lease.may_act(now));
            BOOST_TEST(acting <= 1);
        }
    }

    memory_table table;
    lease_process a{"a", table};
    lease_process b{"b", table};
    lease_process c{"c", table};
    lease_process* first = nullptr;
    lease_process* second = nullptr;
    time_point now;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(lease_holder_test, lease_fixture)

BOOST_AUTO_TEST_CASE(a_crashed_holder_is_replaced_within_the_time_limit)
{
    run(seconds(20), {&a, &b, &c});
    BOOST_TEST(first->changes.size() == 1U);
    // Read interval, whole term including clock drift, rank delay, tick.
    run(milliseconds(1000 + 6120 + 400 + 50), {second});
    BOOST_TEST(second->lease.may_act(now));
    BOOST_TEST(second->lease.fencing_number() == 2U);
    BOOST_TEST(!second->lease.acquired_after_release());
}

BOOST_AUTO_TEST_CASE(a_planned_release_transfers_the_lease_in_less_than_a_term)
{
    run(seconds(10), {&a, &b, &c});
    first->perform(first->lease.release(now), now);
    BOOST_TEST(!first->lease.may_act(now));
    BOOST_TEST(first->lease.is_settled());
    second->perform(second->lease.release_announced(now), now);
    run(milliseconds(500), {&a, &b, &c});
    BOOST_TEST(second->lease.may_act(now));
    BOOST_TEST(second->lease.acquired_after_release());
}

BOOST_AUTO_TEST_CASE(a_paused_holder_may_not_act_when_it_resumes)
{
    run(seconds(10), {&a, &b, &c});
    run(seconds(5), {&b == first ? &a : &b, &c == first ? &a : &c});
    now += seconds(1);
    BOOST_TEST(!first->lease.may_act(now));
    run(seconds(10), {second});
    first->tick(now);
    BOOST_TEST((first->changes.back() == lease_change::lost));
}

BOOST_AUTO_TEST_CASE(a_renewal_without_response_counts_from_when_it_was_sent)
{
    run(seconds(10), {first});
    first->can_receive = false;
    run(milliseconds(7000), {first});
    BOOST_TEST(!first->lease.may_act(now));
    first->can_receive = true;
    run(milliseconds(600), {first});
    BOOST_TEST(first->lease.may_act(now));
    BOOST_TEST(first->changes.size() == 1U);
    BOOST_TEST(first->lease.fencing_number() == 1U);
}

BOOST_AUTO_TEST_CASE(the_lease_is_not_acquired_while_the_store_is_down)
{
    run(seconds(10), {&a, &b, &c});
    for (lease_process* process : {&a, &b, &c})
        process->can_read = process->can_write = false;
    run(seconds(60), {&a, &b, &c});
    BOOST_TEST(!first->lease.may_act(now));
    for (lease_process* process : {&a, &b, &c})
        process->can_read = process->can_write = true;
    run(seconds(10), {&a, &b, &c});
    const int holders = static_cast<int>(a.lease.may_act(now)) +
                        static_cast<int>(b.lease.may_act(now)) +
                        static_cast<int>(c.lease.may_act(now));
    BOOST_TEST(holders == 1);
}

BOOST_AUTO_TEST_CASE(a_delayed_acquisition_has_no_effect_after_a_renewal)
{
    run(seconds(10), {first});
    second->tick(now);
    now += seconds(8);
    // The write of `second` is still in transit while `first` renews.
    const lease_actions delayed = second->lease.tick(now);
    BOOST_REQUIRE(delayed.commit);
    run(milliseconds(50), {first});
    BOOST_TEST(!table.commit(*delayed.commit).committed);
    BOOST_TEST(first->lease.may_act(now));
}

BOOST_AUTO_TEST_CASE(a_greater_number_received_from_a_peer_loses_the_lease)
{
    BOOST_TEST(
        (first->lease.fencing_number_seen(1).change == lease_change::none));
    BOOST_TEST(
        (first->lease.fencing_number_seen(2).change == lease_change::lost));
    BOOST_TEST(!first->lease.is_holder());
}

BOOST_AUTO_TEST_CASE(leases_are_distributed_over_the_hosts)
{
    const std::vector<std::string> hosts = {"h1", "h2", "h3", "h4",
                                            "h5", "h6", "h7", "h8"};
    identifier_source identifiers(1);
    std::size_t max_held = 0;
    for (const std::string& self : hosts)
    {
        std::size_t held = 0;
        for (int service = 0; service < 24; ++service)
        {
            lease_holder lease("r", "service-" + std::to_string(service),
                               {self, "1"}, {}, identifiers);
            lease.set_live_hosts(hosts);
            held += lease.rank() == 0 ? 1U : 0U;
        }
        max_held = std::max(max_held, held);
    }
    // The average is 3; a single host for all leases would hold 24.
    BOOST_TEST(max_held <= 8U);
}

// The store forgets the seconds in which the lease changed its holder. The row
// then names the former holder, or is missing, and a candidate that trusted it
// would issue orders together with the holder, under the same number.
BOOST_AUTO_TEST_CASE(a_restored_store_leaves_one_holder_and_no_reused_number)
{
    run(seconds(10), {&a, &b, &c});
    const memory_table copy_of_first = table;
    run(milliseconds(7700), {second});
    BOOST_REQUIRE(second->lease.may_act(now));
    const std::uint64_t lost_number = second->lease.fencing_number();
    for (const memory_table& copy : {copy_of_first, memory_table()})
    {
        table.restore(copy);
        run(seconds(3), {&a, &b, &c});
        for (lease_process* process : {&a, &b, &c})
            process->perform(process->lease.store_era_seen(table.era(), now),
                             now);
        for (const lease_process* process : {&a, &b, &c})
            BOOST_TEST(!process->lease.may_act(now));
        run(seconds(3), {&a, &b, &c});
        // The term of a former holder may last until now.
        for (const lease_process* process : {&a, &b, &c})
            BOOST_TEST(!process->lease.may_act(now));
        run(seconds(6), {&a, &b, &c});
        const bool has_holder = a.lease.may_act(now) || b.lease.may_act(now) ||
                                c.lease.may_act(now);
        BOOST_TEST(has_holder);
        for (const lease_process* process : {&a, &b, &c})
        {
            if (!process->lease.is_holder())
                continue;
            BOOST_TEST(process->lease.fencing_number() > lost_number);
            BOOST_TEST(!process->lease.is_first_holder());
        }
    }
}

BOOST_AUTO_TEST_CASE(a_lease_written_after_a_restore_is_given_up)
{
    lease_process late("late", table);
    late.lease.set_live_hosts({"late"});
    table.restore(memory_table());
    // The process knows only the era before.
    late.tick(now);
    now += milliseconds(50);
    late.tick(now);
    BOOST_TEST(!late.lease.may_act(now));
}

BOOST_AUTO_TEST_SUITE_END()
