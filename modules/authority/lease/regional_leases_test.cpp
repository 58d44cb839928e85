#include "authority/authority.hpp"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <random>

using namespace hibiscusferry;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

enum class program_version
{
    former, ///< has a lease for each region
    present ///< has a lease for the fleet
};

/** A receiver of calls, which does not check fencing numbers. It judges calls
    as the users' platform does. */
struct call_receiver
{
    void receive(const std::string& host, std::uint64_t number)
    {
        const bool is_shared =
            number == last_number && !last_host.empty() && host != last_host;
        shared_numbers += is_shared ? 1 : 0;
        lower_numbers += number < last_number ? 1 : 0;
        last_number = std::max(last_number, number);
        last_host = host;
        ++calls;
    }

    std::uint64_t last_number = 0;
    std::string last_host;
    int shared_numbers = 0;
    int lower_numbers = 0;
    int calls = 0;
};

/** A host that competes for the lease and calls the receiver while it holds
    it. */
class host
{
public:
    host(const std::string& name, const std::string& region,
         program_version version, memory_table& table)
        : table_(table)
        , name_(name)
        , region_(region)
        , version_(version)
        , random_(stable_hash(name))
        , identifiers_(stable_hash(name))
    {
        start();
    }

    /** Starts a new process. */
    void start()
    {
        identifiers_ = identifier_source(random_());
        const process_identity self{name_, identifiers_.next()};
        const bool is_present = version_ == program_version::present;
        lease_ = std::make_unique<lease_holder>(
            is_present ? "fleet" : region_, is_present ? "duties" : "stages",
            self, lease_settings(), identifiers_);
        if (is_present)
            lease_->replace(regional_leases("stages"));
        name_region(region_);
    }

    void start(program_version version)
    {
        version_ = version;
        start();
    }

    void name_region(const std::string& region)
    {
        lease_->add_region(region);
    }

    void tick(const std::vector<std::string>& live_hosts, time_point now)
    {
        lease_->set_live_hosts(live_hosts);
        perform(lease_->tick(now), now);
    }

    void release(time_point now)
    {
        perform(lease_->release(now), now);
    }

    const lease_holder& lease() const
    {
        return *lease_;
    }

    const std::string& name() const
    {
        return name_;
    }

    const std::string& region() const
    {
        return region_;
    }

    program_version version() const
    {
        return version_;
    }

    bool is_running = true;
    bool reaches_store = true;
    /** Whether writes take effect and their responses are lost. */
    bool loses_responses = false;

private:
    void perform(lease_actions actions, time_point now)
    {
        const std::error_code unknown =
            make_error_code(platform_error::outcome_unknown);
        while (actions.commit || actions.read)
        {
            if (actions.commit)
            {
                result<commit_receipt> receipt(unknown);
                if (reaches_store)
                    receipt = table_.commit(*actions.commit);
                if (loses_responses)
                    receipt = unknown;
                actions = lease_->commit_finished(actions.commit->write_id,
                                                  receipt, now);
            }
            else if (version_ == program_version::former)
            {
                actions =
                    lease_->row_read(reaches_store ? table_.read(lease_->key())
                                                   : result<table_row>(unknown),
                                     now);
            }
            else
            {
                actions = lease_->rows_read(
                    reaches_store ? result<std::vector<table_row>>(
                                        table_.scan("leases/", "", 100))
                                  : result<std::vector<table_row>>(unknown),
                    now);
            }
        }
    }

    memory_table& table_;
    std::string name_;
    std::string region_;
    program_version version_;
    std::mt19937_64 random_;
    identifier_source identifiers_;
    std::unique_ptr<lease_holder> lease_;
};

/** Hosts in front of one store and one receiver. */
class fleet
{
public:
    host& add(const std::string& name, const std::string& region,
              program_version version = program_version::present)
    {
        hosts.push_back(std::make_unique<host>(name, region, version, table));
        return *hosts.back();
    }

    void run(milliseconds duration)
    {
        const time_point end = now + duration;
        while (now < end)
        {
            now += milliseconds(50);
            std::vector<std::string> live_hosts;
            for (const std::unique_ptr<host>& each : hosts)
            {
                if (each->is_running)
                    live_hosts.push_back(each->name());
            }
            for (const std::unique_ptr<host>& each : hosts)
            {
                if (!each->is_running)
                    continue;
                each->tick(live_hosts, now);
                if (each->lease().may_act(now))
                    receiver.receive(each->name(),
                                     each->lease().fencing_number());
            }
        }
    }

    /** The host that may act; null if there is none. */
    host* holder()
    {
        for (const std::unique_ptr<host>& each : hosts)
        {
            if (each->is_running && each->lease().may_act(now))
                return each.get();
        }
        return nullptr;
    }

    void check_rules() const
    {
        BOOST_TEST(receiver.shared_numbers == 0);
        BOOST_TEST(receiver.lower_numbers == 0);
        BOOST_TEST(receiver.calls > 0);
    }

    memory_table table;
    call_receiver receiver;
    std::vector<std::unique_ptr<host>> hosts;
    time_point now;
};

constexpr seconds takeover_time{9};

} // namespace

BOOST_FIXTURE_TEST_SUITE(regional_leases_test, fleet)

BOOST_AUTO_TEST_CASE(hosts_of_two_regions_have_one_holder)
{
    add("a", "r1");
    add("b", "r2");
    run(seconds(20));
    check_rules();
    BOOST_REQUIRE(holder() != nullptr);
    BOOST_TEST(holder()->lease().fencing_number() == 1U);
    BOOST_TEST(holder()->lease().is_first_holder());
}

BOOST_AUTO_TEST_CASE(host_of_an_unknown_region_joins_and_does_not_hold)
{
    for (const char* joining_region : {"r0", "r2"})
    {
        fleet joined;
        joined.add("a", "r1");
        joined.add("b", "r1");
        joined.run(seconds(10));
        host& joining = joined.add("c", joining_region);
        joined.run(seconds(20));
        joined.check_rules();
        BOOST_TEST(!joining.lease().is_holder());
        BOOST_TEST(joined.holder()->lease().fencing_number() == 1U);
    }
}

BOOST_AUTO_TEST_CASE(joining_host_succeeds_a_lost_holder_with_a_greater_number)
{
    host& first = add("a", "r1");
    run(seconds(5));
    host& joining = add("b", "r2");
    first.is_running = false;
    run(seconds(5));
    BOOST_TEST(!joining.lease().is_holder());
    run(takeover_time);
    BOOST_REQUIRE(joining.lease().is_holder());
    BOOST_TEST(joining.lease().fencing_number() == 2U);
    BOOST_TEST(!joining.lease().is_first_holder());
    first.start();
    first.is_running = true;
    run(seconds(10));
    BOOST_TEST(holder() == &joining);
    check_rules();
}

BOOST_AUTO_TEST_CASE(holder_of_a_former_version_is_waited_for)
{
    host& former = add("a", "r1", program_version::former);
    run(seconds(5));
    BOOST_REQUIRE(former.lease().is_holder());
    add("b", "r2");
    add("c", "r1");
    run(seconds(30));
    BOOST_TEST(holder() == &former);
    former.is_running = false;
    run(seconds(5));
    BOOST_TEST(holder() == nullptr);
    run(takeover_time);
    BOOST_REQUIRE(holder() != nullptr);
    BOOST_TEST(holder()->lease().fencing_number() == 2U);
    BOOST_TEST(!holder()->lease().is_first_holder());
    check_rules();
}

// Two holders of the former version, one in each region, have sent numbers of
// their own.
BOOST_AUTO_TEST_CASE(number_is_greater_than_those_of_all_regions)
{
    host& first = add("a", "r1", program_version::former);
    host& second = add("b", "r2", program_version::former);
    run(seconds(5));
    for (int restart = 0; restart < 3; ++restart)
    {
        second.is_running = false;
        run(takeover_time);
        second.start();
        second.is_running = true;
        run(takeover_time);
    }
    const std::uint64_t last_number = second.lease().fencing_number();
    BOOST_REQUIRE(last_number > first.lease().fencing_number());
    receiver = {};
    receiver.last_number = last_number;
    first.release(now);
    second.release(now);
    first.is_running = second.is_running = false;
    first.start(program_version::present);
    first.is_running = true;
    run(seconds(3));
    BOOST_TEST(first.lease().fencing_number() == last_number + 1);
    check_rules();
}

BOOST_AUTO_TEST_CASE(former_versions_do_not_act_beside_a_holder)
{
    add("a", "r1").name_region("r2");
    run(seconds(3));
    add("b", "r1", program_version::former);
    add("c", "r2", program_version::former);
    run(seconds(60));
    BOOST_TEST((holder()->version() == program_version::present));
    BOOST_TEST(holder()->lease().fencing_number() == 1U);
    check_rules();
}

BOOST_AUTO_TEST_CASE(region_that_a_host_names_later_is_closed)
{
    host& present = add("a", "r1");
    run(seconds(3));
    present.name_region("r0");
    run(seconds(3));
    add("b", "r0", program_version::former);
    run(seconds(60));
    BOOST_TEST(holder() == &present);
    check_rules();
}

BOOST_AUTO_TEST_CASE(one_host_of_the_former_version_acts_after_a_downgrade)
{
    host& present = add("a", "r1");
    present.name_region("r2");
    run(seconds(5));
    host& first = add("b", "r1", program_version::former);
    host& second = add("c", "r2", program_version::former);
    run(seconds(5));
    present.release(now);
    run(seconds(1));
    present.is_running = false;
    run(seconds(30));
    BOOST_TEST(holder() == &first);
    BOOST_TEST(first.lease().fencing_number() == 2U);
    BOOST_TEST(!second.lease().is_holder());

    // And upgraded again.
    second.is_running = false;
    second.start(program_version::present);
    second.is_running = true;
    first.is_running = false;
    run(takeover_time);
    BOOST_TEST(holder() == &second);
    BOOST_TEST(second.lease().fencing_number() == 3U);
    check_rules();
}

// The write of a host of a former version arrives after its successor's.
BOOST_AUTO_TEST_CASE(replaced_holder_of_a_former_version_writes_nothing)
{
    host& former = add("a", "r1", program_version::former);
    run(seconds(5));
    table_transaction late;
    late.conditions.push_back(
        {fence_key("r1", "stages"), former.lease().fence_version()});
    late.writes.push_back({"usage/1", std::string("late")});
    former.is_running = false;
    add("b", "r2");
    run(seconds(12));
    BOOST_REQUIRE(holder() != nullptr);
    BOOST_TEST(!table.commit(late).committed);
    late.conditions = holder()->lease().replacement_conditions();
    BOOST_TEST(table.commit(late).committed);
}

BOOST_AUTO_TEST_CASE(holder_replaced_by_a_former_version_writes_nothing)
{
    host& present = add("a", "r1");
    run(seconds(5));
    table_transaction late;
    late.conditions = present.lease().replacement_conditions();
    late.writes.push_back({"usage/1", std::string("late")});
    present.is_running = false;
    add("b", "r1", program_version::former);
    run(seconds(12));
    BOOST_REQUIRE(holder() != nullptr);
    BOOST_TEST(!table.commit(late).committed);
}

BOOST_AUTO_TEST_CASE(lost_responses_and_unreadable_rows_leave_one_holder)
{
    table.commit({"w", {}, {{lease_key("r2", "stages"), std::string("{}")}}});
    host& first = add("a", "r1");
    add("b", "r2");
    first.loses_responses = true;
    run(seconds(30));
    first.loses_responses = false;
    run(seconds(30));
    BOOST_TEST(holder() != nullptr);
    check_rules();
    BOOST_TEST(
        lease_record::parse(table.read(lease_key("r2", "stages")).value().value)
            .has_value());
}

// Draws kills, restarts with either version, releases, cuts from the store,
// lost responses, pauses, and regions that only some hosts name. Hosts of a
// former version run in regions that the holder has been told of.
BOOST_AUTO_TEST_CASE(random_faults_and_versions_leave_one_holder)
{
    constexpr int seeds = 60;
    for (int seed = 1; seed <= seeds; ++seed)
    {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            fleet drawn;
            std::mt19937_64 random(static_cast<std::uint64_t>(seed));
            const std::vector<std::string> regions{"r1", "r2", "r3"};
            for (int index = 0; index < 6; ++index)
                drawn.add("h" + std::to_string(index),
                          regions[static_cast<std::size_t>(index) % 2]);
            drawn.hosts[0]->name_region("r2");
            drawn.hosts[1]->name_region("r1");
            drawn.run(seconds(4));
            for (int fault = 0; fault < 60; ++fault)
            {
                host& struck = *drawn.hosts[random() % drawn.hosts.size()];
                switch (random() % 7)
                {
                case 0:
                    struck.is_running = false;
                    break;
                case 1:
                    struck.start(program_version::former);
                    struck.is_running = true;
                    break;
                case 2:
                    struck.start(program_version::present);
                    struck.is_running = true;
                    break;
                case 3:
                    if (struck.is_running)
                        struck.release(drawn.now);
                    break;
                case 4:
                    struck.reaches_store = !struck.reaches_store;
                    break;
                case 5:
                    struck.loses_responses = !struck.loses_responses;
                    break;
                default:
                    struck.name_region(regions[random() % regions.size()]);
                    break;
                }
                drawn.run(milliseconds(random() % 8000));
            }
            for (const std::unique_ptr<host>& each : drawn.hosts)
            {
                each->reaches_store = true;
                each->loses_responses = false;
                each->start(program_version::present);
                each->is_running = true;
            }
            drawn.run(seconds(30));
            BOOST_TEST(drawn.holder() != nullptr);
            drawn.check_rules();
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
