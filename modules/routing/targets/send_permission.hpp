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

/** Orders the announcements of a service, over all the controllers that have
    held it one after the other. */
struct announcement_version
{
    /** Of the controller that made the announcement. */
    std::uint64_t fencing_number = 0;
    /** Grows with each announcement of that controller. */
    std::uint64_t sequence = 0;
};

bool operator==(const announcement_version& left,
                const announcement_version& right);
bool operator<(const announcement_version& left,
               const announcement_version& right);

/** How long a router may send to targets after it asked for permission, if
    the controller says nothing else. A controller that plans a change waits
    this long, from its announcement, for a router that does not confirm. */
constexpr std::chrono::milliseconds permission_term{6000};

/** Longer terms are cut to this. */
constexpr std::chrono::milliseconds max_permission_term{60000};

/** How long a peer's word that its permission has lapsed counts, from when
    it was asked. Shorter than the term by more than any delay. */
constexpr std::chrono::milliseconds peer_report_term{3000};

/** The most routers without confirmation that a controller may wait out
    instead of hearing; with more it plans no change. Part of the protocol:
    both sides use it. */
constexpr std::size_t max_unconfirmed_routers(std::size_t routers)
{
    return routers / 10 > 1 ? routers / 10 : 1;
}

/** What the controllers of a service have announced: all targets that get
    no new work, few at a time. From the controller, from the store's rows of
    pending changes, or from a peer. */
struct routing_announcement
{
    std::string service;
    announcement_version version;
    std::vector<std::string> stopped_targets;
    /** For how long it permits new work to all other targets, counted from
        before it was asked for. It should outlast the time in which a lost
        controller is replaced, since all traffic to targets that can change
        waits once it has lapsed. One that passes an announcement on takes
        off the time since it asked for it itself. */
    std::chrono::milliseconds term = permission_term;
};

/** That the controller stops new work at one target, sent unasked: it renews
    no permission. That a target is open again is learned from the next
    routing_announcement. */
struct stop_announcement
{
    std::string target;
    announcement_version version;
};

/** From a router to a controller: no new work goes to the target any more. */
struct stop_confirmation
{
    std::string router;
    std::string service;
    std::string target;
    announcement_version version;
    /** This router's attempts still running there. */
    std::size_t in_flight = 0;
};

/** Why new work may not be sent to a target now. */
enum class permission_verdict
{
    permitted,
    stopped, ///< a change of the target is announced
    lapsed   ///< no announcement has been heard for a whole term
};

/** Says whether this router may send new work to a service's targets, so
    that a planned change of a target cuts no request.

    The router asks any controller for the announcement every second or two;
    if none answers it reads the store's rows of pending changes, which are
    written before a change begins. Each answer permits new work, to all
    targets that it does not stop, for a term that counts from before the
    question was sent. When the term has lapsed:

    - targets that never change their role (application servers, engines that
      always stay mixed) stay permitted;
    - if more routers have lapsed than a controller may wait out, this one
      included, no change can have begun without one of them knowing: all
      targets stay permitted but those that one of them knows as stopped, as
      long as they go on saying so. So the loss of all controllers and the
      store together does not stop the traffic;
    - otherwise nothing new goes to the service's other targets.

    The store is a source, and lapsed peers count, only if the controllers
    keep to their part: a change is written to the store a whole term before
    it begins, and none is begun while more than max_unconfirmed_routers() of
    the listed routers have neither confirmed nor left. Otherwise do not call
    heard() and lapsed_peer_reported() for them.

    Check right before the first byte leaves, on the thread that sends it.
    Used from one thread.
*/
class send_permission
{
public:
    send_permission(std::string router, std::string service);

    /** A change can never be ordered for these targets. */
    void set_fixed_targets(const std::vector<std::string>& targets);

    /** An announcement arrived. Older versions renew nothing.
        @param asked_at  when the question that it answers was sent
        @returns true when the version is new: confirm the stopped targets */
    bool receive(const routing_announcement& announcement, time_point asked_at);

    /** One target's stop arrived. Older versions change nothing.
        @returns true when it is in force: confirm it */
    bool receive(const stop_announcement& announcement);

    /** A peer said that its permission has lapsed.
        @param known_stops  its known_stops()
        @param router_count  listed entry hosts */
    void lapsed_peer_reported(const std::string& peer,
                              const std::vector<std::string>& known_stops,
                              std::size_t router_count, time_point asked_at);

    /** Whether new work may go to a target. */
    permission_verdict check(const std::string& target, time_point now) const;

    /** Whether the permission has lapsed: peers are told so when they ask. */
    bool has_lapsed(time_point now) const;

    /** When the permission lapses if nothing more is heard. */
    time_point lapses_at() const;

    /** The targets known to be stopped, for peers. */
    std::vector<std::string> known_stops() const;

    /** The confirmation for a stopped target; to be sent when the version is
        new and again when `in_flight` reaches 0. */
    stop_confirmation confirm(const std::string& target,
                              std::size_t in_flight) const;

private:
    struct lapsed_peer
    {
        time_point asked_at;
        std::vector<std::string> known_stops;
    };

    bool is_stopped(const std::string& target) const;
    bool peers_permit(const std::string& target, time_point now) const;
    announcement_version newest_stop(const std::string& target) const;

    std::string router_;
    routing_announcement last_;
    /** Stops that are newer than the last announcement. */
    std::vector<stop_announcement> stops_;
    std::vector<std::string> fixed_targets_;
    time_point lapses_at_;
    bool heard_any_ = false;
    std::size_t router_count_ = 1;
    std::unordered_map<std::string, lapsed_peer> lapsed_peers_;
};

} // namespace hibiscusferry

#endif
