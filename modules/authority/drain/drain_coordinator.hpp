#ifndef HIBISCUSFERRY_AUTHORITY_DRAIN_DRAIN_COORDINATOR_HPP
#define HIBISCUSFERRY_AUTHORITY_DRAIN_DRAIN_COORDINATOR_HPP

#include "foundation/foundation.hpp"
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hibiscusferry
{

/** Times of draining. */
struct drain_settings
{
    /** How long a router may send after its last renewal request. */
    std::chrono::milliseconds permission_term{6000};
    /** Allowance for clock rates and for requests on their way. */
    std::chrono::milliseconds margin{500};
    /** Time between announcements to routers that have not confirmed. */
    std::chrono::milliseconds announce_period{500};
};

/** The order of all announcements of a service, over all its holders. */
struct routing_version
{
    std::uint64_t fencing_number = 0;
    std::uint64_t sequence = 0;
};

bool operator==(const routing_version& left, const routing_version& right);
bool operator<(const routing_version& left, const routing_version& right);

/** Controller to router: whether a target may get new work. */
struct drain_announcement
{
    std::string router;
    std::string target;
    routing_version version;
    bool stop_new_work = false;
};

/** Router to controller: an announcement is in force there. */
struct drain_confirmation
{
    std::string router;
    std::string target;
    routing_version version;
    /** The router's requests that the target still holds. */
    std::uint32_t in_flight = 0;
};

/** Controller to router, in answer to its request: it may send to all
    targets of the service but the stopped ones, for the permission term
    counted from before it sent the request. */
struct permission_grant
{
    std::string router;
    routing_version version;
    std::vector<std::string> stopped_targets;
    std::chrono::milliseconds term{0};
};

/** What the caller does after an event. */
struct drain_actions
{
    std::vector<drain_announcement> announcements;
    /** Targets to which no router sends and that are idle:
        order_book::drained(). */
    std::vector<std::string> drained;
};

/** Stops new work at a target at all routers before a planned change.

    A router sends only while it has a permission of the service's holder. A
    target is drained when every router that has had one has confirmed the
    stop with nothing in flight, or has had no permission from before the
    stop for a whole term; and the target then reports that it is idle, in a
    report made after that.

    Routers that had a permission of a former holder are not known here. No
    target is drained until a whole term after the former holder certainly
    granted no more. A holder that lost contact with the store goes on
    granting, with its targets unchanged, so that a store outage stops no
    traffic: so a new holder needs to know that its predecessor released the
    lease, cannot run, or has heard of the new one.

    One object for one holding of the lease.
*/
class drain_coordinator
{
public:
    /** @param former_stopped  whether the former holder certainly grants no
                               more, as lease_holder::acquired_after_release()
     */
    drain_coordinator(std::uint64_t fencing_number, bool former_stopped,
                      const drain_settings& settings, time_point now);

    // =================================================================
    // Events

    /** Stops new work at a target. */
    drain_actions begin(const std::string& target, time_point now);

    /** Lets the target get new work again: the change is over or given
        up. */
    drain_actions reopen(const std::string& target, time_point now);

    /** A router asks for its permission. The holder answers while
        lease_holder::is_holder(), lapsed or not. */
    permission_grant permission_requested(const std::string& router,
                                          time_point now);

    drain_actions confirmed(const drain_confirmation& confirmation,
                            time_point now);

    /** The former holder certainly grants no more. */
    void former_holder_stopped(time_point now);

    /** A target's load was read.
        @param idle  whether it holds no request
        @param request_sent  when the reading was asked for
        @param report_age  the age that the target gave for its report */
    drain_actions load_reported(const std::string& target, bool idle,
                                time_point request_sent,
                                std::chrono::milliseconds report_age,
                                time_point now);

    /** To be called at least every 100 ms. */
    drain_actions tick(time_point now);

    // =================================================================
    // State

    /** Whether an order may go to the target now. */
    bool is_drained(const std::string& target) const;

    /** Routers that a drain waits for, in order of id. */
    std::vector<std::string> waiting_for(const std::string& target,
                                         time_point now) const;

    routing_version version() const;

private:
    struct drain
    {
        routing_version stopped_at;
        time_point next_announcement;
        /** When the routers that may not know of the stop were last granted
            their permission. */
        std::map<std::string, time_point> granted_before;
        /** In-flight requests of the routers that have confirmed. */
        std::map<std::string, std::uint32_t> confirmed;
        /** Since when no router can send; none while one can. */
        std::optional<time_point> closed;
        bool drained = false;
    };

    bool has_permission(time_point granted, time_point now) const;
    bool holds_up(const std::string& router, time_point granted,
                  const drain& state, time_point now) const;
    void announce(const std::string& target, drain& state, time_point now,
                  drain_actions& actions);
    void update(drain& state, time_point now);
    void forget_lapsed(time_point now);
    routing_version next_version();

    drain_settings settings_;
    routing_version version_;
    std::optional<time_point> former_stopped_;
    /** When each router was last granted its permission. */
    std::map<std::string, time_point> routers_;
    std::map<std::string, drain> drains_;
};

} // namespace hibiscusferry

#endif
