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

/** Faults injected into the router, which the check must detect. */
enum class injected_fault
{
    none,
    counts_from_response,     ///< the term is counted from the arrival of the
                              ///< response
    confirms_without_applying ///< confirms a stop without applying it
};

struct message
{
    time_point arrival;
    std::variant<time_point, routing_announcement, stop_announcement,
                 stop_confirmation>
        content;
    /** For a response: the time at which its request was sent. */
    time_point requested_at;
};

/** A simple controller that follows the protocol. A target is drained if the
    router confirmed its stop with no request in flight, or if a whole term has
    passed since the last permission granted before the stop. */
struct simple_controller
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

    void handle(const stop_confirmation& confirmation)
    {
        confirmed = confirmed || (confirmation.version.sequence >= stopped_at &&
                                  confirmation.in_flight == 0);
    }

    bool is_drained(time_point now) const
    {
        return stopped && (confirmed || !granted_before_stop ||
                           now >= *granted_before_stop + permission_term);
    }
};

/** Simulates a router and a controller over a network that loses and reorders
    messages. Detects new work sent to a drained target, for example because a
    permission is counted from the arrival of a delayed response. */
class permission_simulation
{
public:
    permission_simulation(injected_fault fault, std::uint64_t seed)
        : fault_(fault)
        , random_(seed)
        , router_("r", "s")
    {
    }

    /** @returns true if no work was sent to a drained target */
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
            step_requests();
            // Sent requests remain in flight for some steps. A drain by a
            // lapsed term relies on the engine's own load report to wait for
            // them.
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
        sent.arrival = now_ + steps * step_length;
        in_transit_.push_back(std::move(sent));
    }

    void step_requests()
    {
        if (in_flight_ > 0 && chance(6))
        {
            --in_flight_;
            if (in_flight_ == 0 && must_confirm_)
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
        std::vector<message> remaining;
        std::vector<message> arrived;
        for (message& current : in_transit_)
            (current.arrival <= now_ ? arrived : remaining)
                .push_back(std::move(current));
        in_transit_ = std::move(remaining);
        for (const message& current : arrived)
            receive(current);
    }

    void receive(const message& current)
    {
        if (const time_point* request_timeout =
                std::get_if<time_point>(&current.content))
            send({now_, controller_.grant(now_), *request_timeout});
        else if (const routing_announcement* announcement =
                     std::get_if<routing_announcement>(&current.content))
            handle(*announcement, current.requested_at);
        else if (const stop_announcement* stop =
                     std::get_if<stop_announcement>(&current.content))
            handle(*stop);
        else
            controller_.handle(std::get<stop_confirmation>(current.content));
    }

    void handle(const routing_announcement& announcement,
                time_point requested_at)
    {
        const time_point counted_from =
            fault_ == injected_fault::counts_from_response ? now_
                                                           : requested_at;
        const bool is_new = router_.receive(announcement, counted_from);
        if (is_new)
            must_confirm_ = !announcement.stopped_targets.empty();
        if (is_new && must_confirm_)
            send({now_, router_.confirm("t", in_flight_), now_});
    }

    void handle(const stop_announcement& stop)
    {
        if (fault_ == injected_fault::confirms_without_applying)
        {
            send({now_, stop_confirmation{"r", "s", "t", stop.version, 0},
                  now_});
        }
        else if (router_.receive(stop))
        {
            must_confirm_ = true;
            send({now_, router_.confirm("t", in_flight_), now_});
        }
    }

    injected_fault fault_;
    std::mt19937_64 random_;
    time_point now_{std::chrono::hours(1)};
    send_permission router_;
    simple_controller controller_;
    std::vector<message> in_transit_;
    std::size_t in_flight_ = 0;
    std::size_t sent_ = 0;
    bool must_confirm_ = false;
};

int count_unsafe_runs(injected_fault fault)
{
    int unsafe_count = 0;
    for (std::uint64_t seed = 1; seed <= 500; ++seed)
        unsafe_count += permission_simulation(fault, seed).is_safe() ? 0 : 1;
    return unsafe_count;
}

} // namespace

BOOST_AUTO_TEST_SUITE(send_permission_property_test)

BOOST_AUTO_TEST_CASE(no_new_work_reaches_a_drained_target)
{
    BOOST_TEST(count_unsafe_runs(injected_fault::none) == 0);
    permission_simulation run(injected_fault::none, 1);
    run.is_safe();
    BOOST_TEST(run.sent() > 50);
}

BOOST_AUTO_TEST_CASE(injected_router_faults_are_detected)
{
    BOOST_TEST(count_unsafe_runs(injected_fault::counts_from_response) > 0);
    BOOST_TEST(count_unsafe_runs(injected_fault::confirms_without_applying) >
               0);
}

BOOST_AUTO_TEST_SUITE_END()
