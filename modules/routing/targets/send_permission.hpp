#ifndef HIBISCUSFERRY_ROUTING_TARGETS_SEND_PERMISSION_HPP
#define HIBISCUSFERRY_ROUTING_TARGETS_SEND_PERMISSION_HPP

#include "foundation/foundation.hpp"
#include <chrono>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace hibiscusferry
{

/** Orders the announcements of a service across all successive controllers that
    held its lease. */
struct announcement_version
{
    /** The fencing number of the announcing controller. */
    std::uint64_t fencing_number = 0;
    /** Incremented with each announcement of that controller. */
    std::uint64_t sequence = 0;
};

bool operator==(const announcement_version& left,
                const announcement_version& right);
bool operator<(const announcement_version& left,
               const announcement_version& right);

/** How long after its request a permission allows a router to send to targets,
    unless the controller states another term. A controller that plans a change
    waits this long after its announcement for a router that does not
    confirm. */
constexpr std::chrono::milliseconds permission_term{6000};

/** The maximum term; longer ones are reduced to it. */
constexpr std::chrono::milliseconds max_permission_term{60000};

/** How long a peer's report that its permission has lapsed is valid, counted
    from the request for it. This is shorter than the permission term by more
    than any delay. */
constexpr std::chrono::milliseconds peer_report_term{3000};

/** The maximum number of routers without confirmation for which a controller
    may wait until their permission lapses; with more of them it plans no
    change. This value is part of the protocol and used by both sides. */
constexpr std::size_t max_unconfirmed_routers(std::size_t routers)
{
    return routers / 10 > 1 ? routers / 10 : 1;
}

/** An announcement by the controllers of a service that lists all targets that
    receive no new work, which are few at a time. It may come from the
    controller, from the store's rows of pending changes, or from a peer. */
struct routing_announcement
{
    std::string service;
    announcement_version version;
    std::vector<std::string> stopped_targets;
    /** How long the announcement permits new work to all other targets, counted
        from before it was requested. The term should exceed the time needed to
        replace a failed controller, because all traffic to targets that can
        change stops once it has lapsed. A host that forwards an announcement
        subtracts the time since its own request. */
    std::chrono::milliseconds term = permission_term;
};

/** An unsolicited announcement that the controller stops new work at one
    target. It does not renew a permission. Routers learn from the next
    routing_announcement that a target is open again. */
struct stop_announcement
{
    std::string target;
    announcement_version version;
};

/** Sent by a router to a controller: the router sends no new work to the
    target. */
struct stop_confirmation
{
    std::string router;
    std::string service;
    std::string target;
    announcement_version version;
    /** The number of this router's attempts still in flight at the target. */
    std::size_t in_flight = 0;
};

/** Whether new work may be sent to a target, or the reason why not. */
enum class permission_verdict
{
    permitted,
    stopped, ///< a change of the target has been announced
    lapsed   ///< no announcement has been received for a whole term
};

/** Determines whether this router may send new work to a service's targets, so
    that a planned change of a target interrupts no request.

    The router requests the announcement from any controller every second or
    two. If none responds, it reads the store's rows of pending changes, which
    are written before a change begins. Each response permits new work to all
    targets that it does not list as stopped, for a term counted from before the
    request was sent. After the term has lapsed, the following applies:

    - Targets that never change their role (application servers, engines that
      always stay mixed) remain permitted.
    - If more routers have lapsed than a controller may wait for, including this
      one, no change can have begun without at least one of them knowing of it.
      All targets then remain permitted except those that one of these routers
      knows to be stopped, as long as the routers keep reporting that they have
      lapsed. The simultaneous loss of all controllers and the store therefore
      does not stop the traffic.
    - Otherwise the service's other targets receive no new work.

    The store may be used as a source, and lapsed peers may be counted, only if
    the controllers write a change to the store a whole term before it begins,
    and begin no change while more than max_unconfirmed_routers() of the listed
    routers have neither confirmed nor left. Otherwise do not pass their
    messages to receive() and lapsed_peer_reported().

    Call check() immediately before the first byte is sent, on the thread that
    sends it. To be used from a single thread.
*/
class send_permission
{
public:
    send_permission(std::string router, std::string service);

    /** Sets the targets for which a change can never be ordered. */
    void set_fixed_targets(const std::vector<std::string>& targets);

    /** An announcement was received. Older versions do not renew the
        permission.

        @param requested_at the time at which the corresponding request was sent
        @returns true if the version is new, in which case the stopped targets
            have to be confirmed
    */
    bool receive(const routing_announcement& announcement,
                 time_point requested_at);

    /** A stop announcement for one target was received. Older versions are
        ignored.

        @returns true if the stop is in force, in which case it has to be
            confirmed
    */
    bool receive(const stop_announcement& announcement);

    /** A peer reported that its permission has lapsed.

        @param known_stops the peer's known_stops()
        @param router_count the number of listed entry hosts
        @param requested_at the time at which the report was requested
    */
    void lapsed_peer_reported(const std::string& peer,
                              const std::vector<std::string>& known_stops,
                              std::size_t router_count,
                              time_point requested_at);

    /** Checks whether new work may be sent to a target. */
    permission_verdict check(const std::string& target, time_point now) const;

    /** Returns true if the permission has lapsed. This is reported to peers on
        request. */
    bool has_lapsed(time_point now) const;

    /** The time at which the permission lapses if no further announcement is
        received. */
    time_point lapses_at() const;

    /** The targets known to be stopped, for peers. */
    std::vector<std::string> known_stops() const;

    /** Returns the confirmation for a stopped target. Send it when the version
        is new, and again when `in_flight` reaches 0. */
    stop_confirmation confirm(const std::string& target,
                              std::size_t in_flight) const;

private:
    struct lapsed_peer
    {
        time_point requested_at;
        std::vector<std::string> known_stops;
    };

    bool is_stopped(const std::string& target) const;
    bool peers_permit(const std::string& target, time_point now) const;
    announcement_version newest_stop(const std::string& target) const;

    std::string router_;
    routing_announcement last_announcement_;
    /** Stops that are newer than the last announcement. */
    std::vector<stop_announcement> stops_;
    std::vector<std::string> fixed_targets_;
    time_point lapses_at_;
    bool has_announcement_ = false;
    std::size_t router_count_ = 1;
    std::unordered_map<std::string, lapsed_peer> lapsed_peers_;
};

} // namespace hibiscusferry

#endif
