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

/** Timing parameters of draining. */
struct drain_settings
{
    /** How long a router may send after its last permission request. */
    std::chrono::milliseconds permission_term{6000};
    /** Margin for differences in clock rates and for requests in transit. */
    std::chrono::milliseconds margin{500};
    /** The interval between announcements to routers that have not
        confirmed. */
    std::chrono::milliseconds announce_period{500};
};

/** Orders the announcements of a service across all successive lease
    holders. */
struct routing_version
{
    std::uint64_t fencing_number = 0;
    std::uint64_t sequence = 0;
};

bool operator==(const routing_version& left, const routing_version& right);
bool operator<(const routing_version& left, const routing_version& right);

/** A message from controller to router: whether a target may receive new
    work. */
struct drain_announcement
{
    std::string router;
    std::string target;
    routing_version version;
    bool stop_new_work = false;
};

/** A message from router to controller: the router has applied an
    announcement. */
struct drain_confirmation
{
    std::string router;
    std::string target;
    routing_version version;
    /** The number of the router's requests in flight at the target. */
    std::uint32_t in_flight = 0;
};

/** The controller's response to a router's permission request. The router may
    send to all targets of the service except the stopped ones, for the term
    counted from before it sent the request. */
struct permission_grant
{
    std::string router;
    routing_version version;
    std::vector<std::string> stopped_targets;
    std::chrono::milliseconds term{0};
};

/** The actions the caller has to perform after an event. */
struct drain_actions
{
    std::vector<drain_announcement> announcements;
    /** Targets that are idle and to which no router sends any longer. Pass each
        to order_book::drained(). */
    std::vector<std::string> drained;
};

/** Stops new work at a target on all routers before a planned change.

    A router sends only while it has a permission from the service's lease
    holder. A target is drained when two conditions hold. First, every router
    that received a permission has confirmed the stop with no request in flight,
    or has held no permission from before the stop for a whole term. Second, the
    target has reported afterwards that it is idle.

    Routers that received a permission from a former holder are not known to
    this object, so no target is drained until a whole term after the former
    holder certainly stopped granting permissions. A holder that loses its
    connection to the store continues to grant permissions, with its set of
    stopped targets unchanged, so that a store outage does not interrupt
    traffic. A new holder therefore has to know that its predecessor released
    the lease, has terminated, or has been notified of the new holder.

    Create one object each time the lease is acquired.
*/
class drain_coordinator
{
public:
    /** @param former_stopped whether the former holder has certainly stopped
            granting permissions; see lease_holder::acquired_after_release() */
    drain_coordinator(std::uint64_t fencing_number, bool former_stopped,
                      const drain_settings& settings, time_point now);

    // =================================================================
    // Events

    /** Stops new work at a target. */
    drain_actions begin(const std::string& target, time_point now);

    /** Allows new work at the target again, because the change completed or was
        abandoned. */
    drain_actions reopen(const std::string& target, time_point now);

    /** A router requests its permission. The holder responds while
        lease_holder::is_holder(), even if its term has lapsed. */
    permission_grant permission_requested(const std::string& router,
                                          time_point now);

    drain_actions confirmed(const drain_confirmation& confirmation,
                            time_point now);

    /** The former holder has certainly stopped granting permissions. */
    void former_holder_stopped(time_point now);

    /** A target's load report was received.

        @param idle whether the target has no request in flight
        @param request_sent the time at which the report was requested
        @param report_age the age of the report as stated by the target
    */
    drain_actions load_reported(const std::string& target, bool idle,
                                time_point request_sent,
                                std::chrono::milliseconds report_age,
                                time_point now);

    /** Must be called at least every 100 ms. */
    drain_actions tick(time_point now);

    // =================================================================
    // State

    /** Returns true if an order may be sent to the target now. */
    bool is_drained(const std::string& target) const;

    /** The routers that block the drain of a target, sorted by id. */
    std::vector<std::string> waiting_for(const std::string& target,
                                         time_point now) const;

    routing_version version() const;

private:
    struct drain
    {
        routing_version stop_version;
        time_point next_announcement;
        /** For each router that may not have applied the stop, the time of its
            last permission before the stop. */
        std::map<std::string, time_point> grants_before_stop;
        /** The number of in-flight requests of each router that has
            confirmed. */
        std::map<std::string, std::uint32_t> confirmed;
        /** The time since when no router can send; none while one can. */
        std::optional<time_point> no_sender_since;
        bool drained = false;
    };

    bool has_permission(time_point granted, time_point now) const;
    bool blocks_drain(const std::string& router, time_point granted,
                      const drain& state, time_point now) const;
    void announce(const std::string& target, drain& state, time_point now,
                  drain_actions& actions);
    void update(drain& state, time_point now);
    void remove_lapsed_routers(time_point now);
    routing_version next_version();

    drain_settings settings_;
    routing_version version_;
    std::optional<time_point> former_holder_stopped_at_;
    /** The time at which each router was last granted its permission. */
    std::map<std::string, time_point> last_grants_;
    std::map<std::string, drain> drains_;
};

} // namespace hibiscusferry

#endif
