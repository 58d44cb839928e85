#include "routing/routing.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <random>
#include <variant>

using namespace hibiscusferry;

namespace
{

constexpr std::chrono::milliseconds step_length{250};

/** What is wrong with the router, or nothing. */
enum class router_fault
{
    none,
    counts_from_answer, ///< the term counts from the answer's arrival
    confirms_only       ///< confirms a stop without keeping to it
};

struct message
{
    time_point arrives;
    std::variant<time_point, routing_announcement, stop_announcement,
                 stop_confirmation>
        content;
    /** Of an answer: when its question was sent. */
    time_point asked_at;
};

/** A controller that follows the protocol, as plainly as can be: a target is
    drained when the router confirmed its stop with nothing in flight, or when
    the last permission from before the stop is a whole term old. */
struct plain_controller
{
    std::uint64_t sequence = 1;
    bool stopped = false;
    std::uint64_t stopped_at = 0;
    std::optional<time_point> granted_before_stop;
    std::optional<time_point> granted;
    bool confirmed = false;

    routing_announcement grant(time_point now)
    {
        granted = now;
        if (!stopped)
            granted_before_stop = now;
        return {"s",
                {1, sequence},
                stopped ? std::vector<std::string>{"t"}
                        : std::vector<std::string>{},
                permission_term};
    }

    void toggle()
    {
        stopped = !stopped;
        ++sequence;
        stopped_at = sequence;
        confirmed = false;
        if (!stopped)
            granted_before_stop = granted;
    }

    void hear(const stop_confirmation& heard)
    {
        confirmed = confirmed || (heard.version.sequence >= stopped_at &&
                                  heard.in_flight == 0);
    }

    bool is_drained(time_point now) const
    {
        return stopped && (confirmed || !granted_before_stop ||
                           now >= *granted_before_stop + permission_term);
    }
};

/** A router and a controller over a network that loses and reorders. */
class permission_run
{
public:
    permission_run(router_fault fault, std::uint64_t seed)
        : fault_(fault)
        , random_(seed)
        , router_("r", "s")
    {
    }

    /** @returns whether no work was sent to a drained target */
    bool is_safe()
    {
        for (int step = 0; step < 600; ++step)
        {
            now_ += step_length;
            if (chance(4))
                send({now_, now_, now_});
            if (chance(60))
            {
                controller_.toggle();
                if (controller_.stopped)
                    send({now_, stop_announcement{"t", version()}, now_});
            }
            deliver();
            work();
            // Requests that were sent run on for some steps; a drain by a
            // lapsed term waits for them by the engine's own load report.
            const bool may_send =
                router_.check("t", now_) == permission_verdict::permitted;
            if (controller_.is_drained(now_) &&
                (may_send || (controller_.confirmed && in_flight_ > 0)))
            {
                return false;
            }
        }
        return true;
    }

    std::size_t sent() const
    {
        return sent_;
    }

private:
    bool chance(std::uint64_t one_in)
    {
        return random_() % one_in == 0;
    }

    announcement_version version() const
    {
        return {1, controller_.sequence};
    }

    /** Loses one message in five and delays others by up to eight seconds. */
    void send(message sent)
    {
        if (chance(5))
            return;
        const std::uint64_t steps = chance(4) ? random_() % 32 : 1;
        sent.arrives = now_ + steps * step_length;
        on_the_way_.push_back(std::move(sent));
    }

    void work()
    {
        if (in_flight_ > 0 && chance(6))
        {
            --in_flight_;
            if (in_flight_ == 0 && to_confirm_)
                send({now_, router_.confirm("t", 0), now_});
        }
        if (router_.check("t", now_) == permission_verdict::permitted &&
            chance(3))
        {
            ++in_flight_;
            ++sent_;
        }
    }

    void deliver()
    {
        std::vector<message> later;
        std::vector<message> arrived;
        for (message& one : on_the_way_)
            (one.arrives <= now_ ? arrived : later).push_back(std::move(one));
        on_the_way_ = std::move(later);
        for (const message& one : arrived)
            receive(one);
    }

    void receive(const message& one)
    {
        if (const time_point* asked = std::get_if<time_point>(&one.content))
            send({now_, controller_.grant(now_), *asked});
        else if (const routing_announcement* all =
                     std::get_if<routing_announcement>(&one.content))
            hear(*all, one.asked_at);
        else if (const stop_announcement* stop =
                     std::get_if<stop_announcement>(&one.content))
            hear(*stop);
        else
            controller_.hear(std::get<stop_confirmation>(one.content));
    }

    void hear(const routing_announcement& all, time_point asked_at)
    {
        const time_point counted_from =
            fault_ == router_fault::counts_from_answer ? now_ : asked_at;
        const bool is_new = router_.receive(all, counted_from);
        if (is_new)
            to_confirm_ = !all.stopped_targets.empty();
        if (is_new && to_confirm_)
            send({now_, router_.confirm("t", in_flight_), now_});
    }

    void hear(const stop_announcement& stop)
    {
        if (fault_ == router_fault::confirms_only)
        {
            send({now_, stop_confirmation{"r", "s", "t", stop.version, 0},
                  now_});
        }
        else if (router_.receive(stop))
        {
            to_confirm_ = true;
            send({now_, router_.confirm("t", in_flight_), now_});
        }
    }

    router_fault fault_;
    std::mt19937_64 random_;
    time_point now_{std::chrono::hours(1)};
    send_permission router_;
    plain_controller controller_;
    std::vector<message> on_the_way_;
    std::size_t in_flight_ = 0;
    std::size_t sent_ = 0;
    bool to_confirm_ = false;
};

int unsafe_runs(router_fault fault)
{
    int found = 0;
    for (std::uint64_t seed = 1; seed <= 500; ++seed)
        found += permission_run(fault, seed).is_safe() ? 0 : 1;
    return found;
}

} // namespace

BOOST_AUTO_TEST_SUITE(send_permission_property_test)

BOOST_AUTO_TEST_CASE(no_new_work_reaches_a_drained_target)
{
    BOOST_TEST(unsafe_runs(router_fault::none) == 0);
    permission_run run(router_fault::none, 1);
    run.is_safe();
    BOOST_TEST(run.sent() > 50);
}

BOOST_AUTO_TEST_CASE(routers_with_planted_faults_are_found)
{
    BOOST_TEST(unsafe_runs(router_fault::counts_from_answer) > 0);
    BOOST_TEST(unsafe_runs(router_fault::confirms_only) > 0);
}

BOOST_AUTO_TEST_SUITE_END()
