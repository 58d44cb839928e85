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

/** Faults planted in the fakes, that the oracle must find. */
enum class drain_fault
{
    none,
    term_from_answer,      ///< routers count from when the grant arrives
    former_stop_presumed,  ///< the former holder is called stopped at once
    report_without_its_age ///< targets give old reports as fresh ones
};

/** A router as the protocol wants it, for one target. */
struct drain_router
{
    std::string name;
    routing_version newest;
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

/** Two successive holders, four routers and one target with requests. */
class drain_world
{
public:
    drain_world(drain_fault fault, std::uint64_t seed)
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

    /** Runs a change of holder during a drain; the rule broken or empty. */
    std::string run()
    {
        const time_point takeover(milliseconds(10000 + pick(20000)));
        const bool former_dies = pick(2) == 0;
        first_drains_ = pick(2) == 0;
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
    std::size_t pick(std::size_t count)
    {
        return random_() % count;
    }

    bool chance(std::size_t percent)
    {
        return pick(100) < percent;
    }

    void at(milliseconds delay, std::function<void()> action)
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

    /** The former holder may live on without its lease, and goes on
        granting until it hears of the new one. */
    void take_over(bool former_dies)
    {
        may_order_[0] = false;
        holders_[1] = std::make_unique<drain_coordinator>(
            2, former_dies || fault_ == drain_fault::former_stop_presumed,
            drain_settings(), now_);
        if (former_dies)
        {
            holders_[0].reset();
            return;
        }
        at(milliseconds(pick(30000)),
           [this]()
           {
               holders_[0].reset();
               holders_[1]->former_holder_stopped(now_);
           });
    }

    void step_router(drain_router& router)
    {
        if (pick(500) == 0)
            router.cut_off_from[pick(2)] = now_ < time_point(seconds(60));
        if (pick(1500) == 0)
            router.cut_off_from[0] = router.cut_off_from[1] = false;
        if (now_ > time_point(seconds(60)))
            router.cut_off_from[0] = router.cut_off_from[1] = false;
        if (pick(100) == 0)
            ask_permission(router);
        if (router.may_send(now_) && pick(200) == 0)
            send_request(router);
    }

    void ask_permission(drain_router& router)
    {
        const time_point asked = now_;
        for (std::size_t holder : {0U, 1U})
        {
            const bool reachable = !router.cut_off_from[holder];
            // The answer may be late, by more than the term.
            const milliseconds way(pick(chance(20) ? 9000 : 50));
            at(way,
               [=, &router]()
               {
                   if (!holders_[holder] || !reachable)
                       return;
                   const permission_grant grant =
                       holders_[holder]->permission_requested(router.name,
                                                              now_);
                   at(milliseconds(pick(chance(20) ? 9000 : 50)),
                      [=, &router]() { granted(router, grant, asked); });
               });
        }
    }

    void granted(drain_router& router, const permission_grant& grant,
                 time_point asked)
    {
        if (grant.version.fencing_number < router.newest.fencing_number)
            return;
        if (router.newest < grant.version)
            router.newest = grant.version;
        if (!(grant.version < router.stop_version))
        {
            router.stop_version = grant.version;
            router.stopped = !grant.stopped_targets.empty();
        }
        const time_point from =
            fault_ == drain_fault::term_from_answer ? now_ : asked;
        router.permission_until =
            std::max(router.permission_until, from + grant.term);
    }

    void announced(std::size_t holder, drain_router& router,
                   const drain_announcement& message)
    {
        if (message.version.fencing_number < router.newest.fencing_number ||
            message.version < router.stop_version)
            return;
        if (router.newest < message.version)
            router.newest = message.version;
        router.stop_version = message.version;
        router.stopped = message.stop_new_work;
        if (!message.stop_new_work)
            return;
        const drain_confirmation confirmation{router.name, "t", message.version,
                                              router.in_flight};
        at(milliseconds(pick(100)),
           [=]()
           {
               if (holders_[holder])
                   holders_[holder]->confirmed(confirmation, now_);
           });
    }

    void send_request(drain_router& router)
    {
        ++router.in_flight;
        at(milliseconds(pick(300)),
           [this, &router]()
           {
               // A target that is changing refuses as not run.
               if (now_ < changing_until_)
               {
                   --router.in_flight;
                   return;
               }
               ++at_target_;
               at(milliseconds(pick(4000)),
                  [this, &router]()
                  {
                      --at_target_;
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
        if (pick(10) == 0)
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
                    at(milliseconds(pick(chance(10) ? 4000 : 50)),
                       [=, &router]() { announced(index, router, message); });
            }
        }
    }

    /** The target's report is taken now and given up to two seconds old. */
    void read_load(std::size_t index)
    {
        const time_point asked = now_;
        const bool idle = at_target_ == 0;
        const milliseconds age(pick(2000));
        const milliseconds said = fault_ == drain_fault::report_without_its_age
                                      ? milliseconds(0)
                                      : age;
        at(age,
           [=]()
           {
               if (holders_[index])
                   holders_[index]->load_reported(
                       "t", idle, asked + age - milliseconds(1), said, now_);
           });
    }

    void order()
    {
        ++orders_;
        if (at_target_ > 0)
            violation_ = "a planned change cut a request";
        for (const drain_router& router : routers_)
        {
            if (router.may_send(now_))
                violation_ = "a router may send at the time of the order";
        }
        changing_until_ = now_ + seconds(5);
    }

    drain_fault fault_;
    std::mt19937_64 random_;
    std::unique_ptr<drain_coordinator> holders_[2];
    bool first_drains_ = true;
    bool may_order_[2] = {true, true};
    std::vector<drain_router> routers_;
    std::multimap<time_point, std::function<void()>> queue_;
    time_point now_;
    std::size_t at_target_ = 0;
    time_point changing_until_;
    std::size_t orders_ = 0;
    std::string violation_;
};

constexpr std::uint64_t drain_seed_count = 200;

std::size_t broken_drains(drain_fault fault)
{
    std::size_t broken = 0;
    for (std::uint64_t seed = 1; seed <= drain_seed_count; ++seed)
    {
        const std::string violation = drain_world(fault, seed).run();
        broken += violation.empty() ? 0U : 1U;
        if (fault == drain_fault::none)
            BOOST_TEST(violation == "", "seed " << seed << ": " << violation);
    }
    BOOST_TEST_MESSAGE(broken << " of " << drain_seed_count << " broken");
    return broken;
}

} // namespace

BOOST_AUTO_TEST_SUITE(drain_coordinator_test)

BOOST_AUTO_TEST_CASE(a_planned_change_cuts_nothing)
{
    broken_drains(drain_fault::none);
}

BOOST_AUTO_TEST_CASE(a_term_counted_from_the_answer_is_found)
{
    BOOST_TEST(broken_drains(drain_fault::term_from_answer) > 0U);
}

BOOST_AUTO_TEST_CASE(a_former_holder_presumed_stopped_is_found)
{
    BOOST_TEST(broken_drains(drain_fault::former_stop_presumed) > 0U);
}

BOOST_AUTO_TEST_CASE(a_report_without_its_age_is_found)
{
    BOOST_TEST(broken_drains(drain_fault::report_without_its_age) > 0U);
}

BOOST_AUTO_TEST_CASE(confirmations_and_an_idle_target_end_a_drain_at_once)
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

BOOST_AUTO_TEST_CASE(a_router_with_work_in_flight_is_waited_for)
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

BOOST_AUTO_TEST_CASE(a_reopened_target_is_announced_and_granted_again)
{
    time_point now;
    drain_coordinator drains(1, true, drain_settings(), now);
    drains.permission_requested("r1", now);
    drains.begin("t", now);
    BOOST_TEST(drains.permission_requested("r1", now).stopped_targets.size() ==
               1U);
    const drain_actions opened = drains.reopen("t", now);
    BOOST_REQUIRE(opened.announcements.size() == 1U);
    BOOST_TEST(!opened.announcements.at(0).stop_new_work);
    BOOST_TEST(drains.permission_requested("r1", now).stopped_targets.empty());
    BOOST_TEST(!drains.is_drained("t"));
}

BOOST_AUTO_TEST_SUITE_END()
