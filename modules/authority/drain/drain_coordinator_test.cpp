#include "authority/authority.hpp"

#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <random>

using namespace hibiscusferry;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

/** Faults injected into the fakes, which the oracle must detect. */
enum class injected_fault
{
    none,
    term_from_response, ///< routers count the term from the arrival of the
                        ///< grant
    former_holder_assumed_stopped, ///< the former holder is assumed to have
                                   ///< stopped at once
    report_without_age ///< targets present old reports as fresh ones
};

/** A router that follows the protocol, for one target. */
struct drain_router
{
    std::string name;
    routing_version newest_version;
    routing_version stop_version;
    bool stopped = false;
    time_point permission_until;
    std::uint32_t in_flight = 0;
    bool cut_off_from[2] = {false, false};

    bool may_send(time_point now) const
    {
        return !stopped && now < permission_until;
    }
};

/** Simulates two successive lease holders, four routers and one target. Detects
    a planned change that interrupts a request or that begins while a router may
    still send, because of lost or delayed messages. */
class drain_simulation
{
public:
    drain_simulation(injected_fault fault, std::uint64_t seed)
        : fault_(fault)
        , random_(seed)
    {
        for (const char* name : {"r1", "r2", "r3", "r4"})
        {
            routers_.emplace_back();
            routers_.back().name = name;
        }
        holders_[0] = std::make_unique<drain_coordinator>(
            1, true, drain_settings(), now_);
    }

    /** Runs a change of lease holder during a drain. Returns the violated rule,
        or an empty string. */
    std::string run()
    {
        const time_point takeover(milliseconds(10000 + random_below(20000)));
        const bool former_dies = random_below(2) == 0;
        first_drains_ = random_below(2) == 0;
        while (now_ < time_point(seconds(120)) && violation_.empty())
        {
            now_ += milliseconds(20);
            if (now_ >= takeover && !holders_[1])
                take_over(former_dies);
            run_queue();
            for (drain_router& router : routers_)
                step_router(router);
            step_holder(0);
            step_holder(1);
        }
        if (violation_.empty() && orders_ == 0)
            violation_ = "the order was never sent";
        return violation_;
    }

private:
    std::size_t random_below(std::size_t count)
    {
        return random_() % count;
    }

    bool chance(std::size_t percent)
    {
        return random_below(100) < percent;
    }

    void schedule(milliseconds delay, std::function<void()> action)
    {
        queue_.emplace(now_ + delay, std::move(action));
    }

    void run_queue()
    {
        while (!queue_.empty() && queue_.begin()->first <= now_)
        {
            const std::function<void()> action = queue_.begin()->second;
            queue_.erase(queue_.begin());
            action();
        }
    }

    /** The former holder may continue running without its lease, and grants
        permissions until it is notified of the new holder. */
    void take_over(bool former_dies)
    {
        may_order_[0] = false;
        holders_[1] = std::make_unique<drain_coordinator>(
            2,
            former_dies ||
                fault_ == injected_fault::former_holder_assumed_stopped,
            drain_settings(), now_);
        if (former_dies)
        {
            holders_[0].reset();
            return;
        }
        schedule(milliseconds(random_below(30000)),
                 [this]()
                 {
                     holders_[0].reset();
                     holders_[1]->former_holder_stopped(now_);
                 });
    }

    void step_router(drain_router& router)
    {
        if (random_below(500) == 0)
            router.cut_off_from[random_below(2)] =
                now_ < time_point(seconds(60));
        if (random_below(1500) == 0)
            router.cut_off_from[0] = router.cut_off_from[1] = false;
        if (now_ > time_point(seconds(60)))
            router.cut_off_from[0] = router.cut_off_from[1] = false;
        if (random_below(100) == 0)
            request_permission(router);
        if (router.may_send(now_) && random_below(200) == 0)
            send_request(router);
    }

    void request_permission(drain_router& router)
    {
        const time_point requested_at = now_;
        for (std::size_t holder : {0U, 1U})
        {
            const bool reachable = !router.cut_off_from[holder];
            // The response may be delayed by more than the term.
            const milliseconds transit_time(
                random_below(chance(20) ? 9000 : 50));
            schedule(transit_time,
                     [=, &router]()
                     {
                         if (!holders_[holder] || !reachable)
                             return;
                         const permission_grant grant =
                             holders_[holder]->permission_requested(router.name,
                                                                    now_);
                         schedule(
                             milliseconds(random_below(chance(20) ? 9000 : 50)),
                             [=, &router]()
                             { granted(router, grant, requested_at); });
                     });
        }
    }

    void granted(drain_router& router, const permission_grant& grant,
                 time_point requested_at)
    {
        if (grant.version.fencing_number < router.newest_version.fencing_number)
            return;
        if (router.newest_version < grant.version)
            router.newest_version = grant.version;
        if (!(grant.version < router.stop_version))
        {
            router.stop_version = grant.version;
            router.stopped = !grant.stopped_targets.empty();
        }
        const time_point from =
            fault_ == injected_fault::term_from_response ? now_ : requested_at;
        router.permission_until =
            std::max(router.permission_until, from + grant.term);
    }

    void announced(std::size_t holder, drain_router& router,
                   const drain_announcement& message)
    {
        if (message.version.fencing_number <
                router.newest_version.fencing_number ||
            message.version < router.stop_version)
            return;
        if (router.newest_version < message.version)
            router.newest_version = message.version;
        router.stop_version = message.version;
        router.stopped = message.stop_new_work;
        if (!message.stop_new_work)
            return;
        const drain_confirmation confirmation{router.name, "t", message.version,
                                              router.in_flight};
        schedule(milliseconds(random_below(100)),
                 [=]()
                 {
                     if (holders_[holder])
                         holders_[holder]->confirmed(confirmation, now_);
                 });
    }

    void send_request(drain_router& router)
    {
        ++router.in_flight;
        schedule(milliseconds(random_below(300)),
                 [this, &router]()
                 {
                     // A target that is changing refuses requests as not run.
                     if (now_ < changing_until_)
                     {
                         --router.in_flight;
                         return;
                     }
                     ++running_at_target_;
                     schedule(milliseconds(random_below(4000)),
                              [this, &router]()
                              {
                                  --running_at_target_;
                                  --router.in_flight;
                              });
                 });
    }

    void step_holder(std::size_t index)
    {
        if (!holders_[index])
            return;
        if (now_ >= time_point(seconds(8)) && (index == 1 || first_drains_))
            perform(index, holders_[index]->begin("t", now_));
        perform(index, holders_[index]->tick(now_));
        if (random_below(10) == 0)
            read_load(index);
        const bool ready = may_order_[index] && orders_ == 0 &&
                           holders_[index]->is_drained("t");
        if (ready)
            order();
    }

    void perform(std::size_t index, const drain_actions& actions)
    {
        for (const drain_announcement& message : actions.announcements)
        {
            for (drain_router& router : routers_)
            {
                const bool lost = router.cut_off_from[index] || chance(30);
                if (router.name == message.router && !lost)
                    schedule(milliseconds(random_below(chance(10) ? 4000 : 50)),
                             [=, &router]()
                             { announced(index, router, message); });
            }
        }
    }

    /** The target's report is measured now and delivered up to two seconds
        later. */
    void read_load(std::size_t index)
    {
        const time_point requested_at = now_;
        const bool idle = running_at_target_ == 0;
        const milliseconds age(random_below(2000));
        const milliseconds stated_age =
            fault_ == injected_fault::report_without_age ? milliseconds(0)
                                                         : age;
        schedule(age,
                 [=]()
                 {
                     if (holders_[index])
                         holders_[index]->load_reported(
                             "t", idle, requested_at + age - milliseconds(1),
                             stated_age, now_);
                 });
    }

    void order()
    {
        ++orders_;
        if (running_at_target_ > 0)
            violation_ = "a planned change interrupted a request";
        for (const drain_router& router : routers_)
        {
            if (router.may_send(now_))
                violation_ = "a router may send at the time of the order";
        }
        changing_until_ = now_ + seconds(5);
    }

    injected_fault fault_;
    std::mt19937_64 random_;
    std::unique_ptr<drain_coordinator> holders_[2];
    bool first_drains_ = true;
    bool may_order_[2] = {true, true};
    std::vector<drain_router> routers_;
    std::multimap<time_point, std::function<void()>> queue_;
    time_point now_;
    std::size_t running_at_target_ = 0;
    time_point changing_until_;
    std::size_t orders_ = 0;
    std::string violation_;
};

constexpr std::uint64_t seed_count = 200;

std::size_t count_violations(injected_fault fault)
{
    std::size_t violations = 0;
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed)
    {
        const std::string violation = drain_simulation(fault, seed).run();
        violations += violation.empty() ? 0U : 1U;
        if (fault == injected_fault::none)
            BOOST_TEST(violation == "", "seed " << seed << ": " << violation);
    }
    BOOST_TEST_MESSAGE(violations << " of " << seed_count
                                  << " runs violated a rule");
    return violations;
}

} // namespace

BOOST_AUTO_TEST_SUITE(drain_coordinator_test)

BOOST_AUTO_TEST_CASE(a_planned_change_interrupts_no_request)
{
    count_violations(injected_fault::none);
}

BOOST_AUTO_TEST_CASE(a_term_counted_from_the_response_is_detected)
{
    BOOST_TEST(count_violations(injected_fault::term_from_response) > 0U);
}

BOOST_AUTO_TEST_CASE(a_former_holder_assumed_stopped_is_detected)
{
    BOOST_TEST(count_violations(injected_fault::former_holder_assumed_stopped) >
               0U);
}

BOOST_AUTO_TEST_CASE(a_report_without_its_age_is_detected)
{
    BOOST_TEST(count_violations(injected_fault::report_without_age) > 0U);
}

BOOST_AUTO_TEST_CASE(
    confirmations_and_an_idle_target_complete_a_drain_immediately)
{
    time_point now;
    drain_coordinator drains(1, true, drain_settings(), now);
    now += seconds(10);
    drains.permission_requested("r1", now);
    const drain_actions begun = drains.begin("t", now);
    BOOST_REQUIRE(begun.announcements.size() == 1U);
    BOOST_TEST(drains.waiting_for("t", now).size() == 1U);
    drains.confirmed({"r1", "t", drains.version(), 0}, now);
    const drain_actions idle =
        drains.load_reported("t", true, now, milliseconds(0), now);
    BOOST_TEST(idle.drained.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_router_with_requests_in_flight_blocks_the_drain)
{
    time_point now;
    drain_coordinator drains(1, true, drain_settings(), now);
    now += seconds(10);
    drains.permission_requested("r1", now);
    drains.begin("t", now);
    drains.confirmed({"r1", "t", drains.version(), 2}, now);
    BOOST_TEST(drains.load_reported("t", true, now, milliseconds(0), now)
                   .drained.empty());
    now += milliseconds(500);
    BOOST_TEST(drains.tick(now).announcements.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_reopened_target_is_announced_and_permitted_again)
{
    time_point now;
    drain_coordinator drains(1, true, drain_settings(), now);
    drains.permission_requested("r1", now);
    drains.begin("t", now);
    BOOST_TEST(drains.permission_requested("r1", now).stopped_targets.size() ==
               1U);
    const drain_actions reopened = drains.reopen("t", now);
    BOOST_REQUIRE(reopened.announcements.size() == 1U);
    BOOST_TEST(!reopened.announcements.at(0).stop_new_work);
    BOOST_TEST(drains.permission_requested("r1", now).stopped_targets.empty());
    BOOST_TEST(!drains.is_drained("t"));
}

BOOST_AUTO_TEST_SUITE_END()
