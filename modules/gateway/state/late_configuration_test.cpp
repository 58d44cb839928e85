#include "gateway/state/fake_store.hpp"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

// The time from the write of a configuration until it is in force on a host
// that reaches the store, or another host that does, with each step of the way
// taking its longest.

using namespace hibiscusferry;

namespace
{

using std::chrono::milliseconds;

/** Values of host_settings::max_configuration_delay. */
const std::vector<int> bounds{1000, 2000, 3000};

const std::string configuration_table = "operator";
const std::string configuration_key = "operator/configuration";

constexpr milliseconds step{5};

class late_configuration_run
{
public:
    explicit late_configuration_run(int bound_ms)
        : bound(bound_ms)
        , core_("gateway", test_process_settings())
        , fleet_(core_, host_settings_for(bound))
        , store_(core_.context())
        , feed(core_)
        , follower(core_, fleet_, {feed, store_, records_})
    {
        feed.put(configuration_key, "1");
        feed.put("hosts/host-1", "");
        feed.put("targets/i-1", "v1");
    }

    void start(bool is_relay)
    {
        follower.set_relay(is_relay);
        BOOST_REQUIRE(follower.start().has_value());
        run(milliseconds(300));
        BOOST_REQUIRE(version() == 1U);
    }

    /** Lets a relay confirm all tables until now. */
    void follow_relay(milliseconds duration)
    {
        const time_point end = core_.now() + duration;
        while (core_.now() < end)
        {
            replica_positions positions =
                follower.replicas().positions(core_.now());
            for (replica_position& position : positions)
                position.age = milliseconds(0);
            follower.apply_positions({}, positions, core_.now());
            run(step);
        }
    }

    /** Lets the store refuse all calls of this host from now on. */
    void refuse_calls()
    {
        feed.is_cut_off = true;
    }

    process_core& core()
    {
        return core_;
    }

    void run(milliseconds duration)
    {
        core_.context().restart();
        core_.context().run_for(duration);
    }

    /** Runs until the store is asked for the configuration once more. */
    void run_until_next_read()
    {
        const int reads_before = feed.reads[configuration_table];
        while (feed.reads[configuration_table] == reads_before)
            run(step);
    }

    /** Writes a configuration.
        @returns the time until it is in force, or a little more than the bound
                 if it is not until then */
    milliseconds time_until_in_force()
    {
        const time_point written_at = core_.now();
        feed.put(configuration_key, "2");
        while (version() != 2U && core_.now() <= written_at + bound)
            run(step);
        return std::chrono::duration_cast<milliseconds>(core_.now() -
                                                        written_at);
    }

    std::uint64_t version() const
    {
        return fleet_.routes() ? fleet_.routes()->configuration().version : 0;
    }

    const milliseconds bound;

private:
    static host_settings host_settings_for(milliseconds bound)
    {
        host_settings settings = test_host_settings();
        settings.max_configuration_delay = bound;
        return settings;
    }

    process_core core_;
    fleet_state fleet_;
    fake_store store_;
    fake_records records_;

public:
    fake_feed feed;
    state_follower follower;
};

/** Another host, which has a newer configuration but has not read the store for
    some time. */
class outdated_host
{
public:
    explicit outdated_host(late_configuration_run& run)
        : replica_([](const table_row& row) { return stable_hash(row.value); })
        , server_(std::move(
              http_server::listen(run.core().context(), {"127.0.0.1", 0}, {},
                                  [this](http_exchange& exchange,
                                         boost::asio::yield_context yield)
                                  {
                                      http_response response;
                                      response.body = encode_updates(
                                          {{fleet_table::configuration, true,
                                            replica_.snapshot(),
                                            replica_.digest(), age_}});
                                      exchange.respond(response, yield).value();
                                  })
                  .value()))
        , age_(run.bound)
    {
        constexpr row_version version = 100;
        table_changes rows;
        rows.version = version;
        rows.rows.push_back({configuration_key, "2", version});
        replica_.replace(rows);
    }

    host_record record() const
    {
        host_record host;
        host.host = "host-2";
        host.address = server_->endpoint().address;
        host.port = server_->endpoint().port;
        return host;
    }

    replica_positions positions() const
    {
        replica_positions positions;
        positions.front() = {replica_.as_of(), replica_.digest(), age_};
        return positions;
    }

private:
    table_replica replica_;
    std::unique_ptr<http_server> server_;
    const milliseconds age_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(late_configuration_test)

BOOST_DATA_TEST_CASE(a_lost_relay_and_a_silent_read_do_not_delay_a_change,
                     boost::unit_test::data::make(bounds), bound)
{
    late_configuration_run run(bound);
    run.start(false);
    run.follow_relay(milliseconds(200));
    run.feed.silent_reads[configuration_table] = 1;
    BOOST_TEST(run.time_until_in_force().count() < bound);
}

BOOST_DATA_TEST_CASE(a_lost_relay_and_two_silent_reads_do_not_delay_a_change,
                     boost::unit_test::data::make(bounds), bound)
{
    late_configuration_run run(bound);
    run.start(false);
    run.follow_relay(milliseconds(200));
    run.feed.silent_reads[configuration_table] = 2;
    BOOST_TEST(run.time_until_in_force().count() < bound);
}

BOOST_DATA_TEST_CASE(a_relay_whose_waiting_read_goes_silent_is_not_late,
                     boost::unit_test::data::make(bounds), bound)
{
    late_configuration_run run(bound);
    run.start(true);
    run.run_until_next_read();
    run.feed.silence_waiting_reads();
    run.feed.silent_reads[configuration_table] = 1;
    BOOST_TEST(run.time_until_in_force().count() < bound);
}

BOOST_DATA_TEST_CASE(a_new_relay_reads_before_it_waits,
                     boost::unit_test::data::make(bounds), bound)
{
    late_configuration_run run(bound);
    run.start(false);
    run.follow_relay(milliseconds(200));
    run.run(run.bound * 35 / 100);
    run.follower.set_relay(true);
    run.run_until_next_read();
    run.run(milliseconds(200));
    const replica_positions positions =
        run.follower.replicas().positions(boot_clock::now());
    BOOST_TEST(positions.front().age.count() < bound * 35 / 100);
}

BOOST_DATA_TEST_CASE(a_slow_store_and_a_silent_read_do_not_delay_a_change,
                     boost::unit_test::data::make(bounds), bound)
{
    late_configuration_run run(bound);
    run.start(false);
    run.follow_relay(milliseconds(200));
    run.feed.response_time = run.bound / 10;
    run.feed.silent_reads[configuration_table] = 1;
    BOOST_TEST(run.time_until_in_force().count() < bound);
}

// Otherwise its followers wait for it and not for another relay.
BOOST_DATA_TEST_CASE(a_relay_with_silent_reads_gives_up_its_role_in_time,
                     boost::unit_test::data::make(bounds), bound)
{
    late_configuration_run run(bound);
    run.start(true);
    run.run_until_next_read();
    run.feed.silence_waiting_reads();
    constexpr int all = 1000;
    for (const std::string table : {"operator", "targets", "hosts"})
        run.feed.silent_reads[table] = all;
    run.run(run.bound);
    BOOST_TEST(!run.follower.monitor().is_store_reachable());
}

// A host that the store turns away has nothing newer than that.
BOOST_DATA_TEST_CASE(a_newer_version_of_a_host_that_is_itself_outdated_is_taken,
                     boost::unit_test::data::make(bounds), bound)
{
    late_configuration_run run(bound);
    run.start(false);
    run.refuse_calls();
    const outdated_host host(run);
    BOOST_TEST(!run.follower.apply_positions(host.record(), host.positions(),
                                             boot_clock::now()));
    run.run(milliseconds(200));
    BOOST_TEST(run.version() == 2U);
    const replica_positions positions =
        run.follower.replicas().positions(boot_clock::now());
    BOOST_TEST(positions.front().age.count() >= 200);
}

BOOST_AUTO_TEST_SUITE_END()
