#ifndef HIBISCUSFERRY_MEMBERSHIP_VIEW_MEMBERSHIP_VIEW_HPP
#define HIBISCUSFERRY_MEMBERSHIP_VIEW_MEMBERSHIP_VIEW_HPP

#include "foundation/foundation.hpp"
#include "membership/messages/membership_message.hpp"
#include "storage/storage.hpp"
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace hibiscusferry
{

/** Intervals, timeouts and limits of the membership protocol. */
struct membership_settings
{
    /** Interval between the probes that this host sends. */
    std::chrono::milliseconds probe_period{1000};
    /** Time without an acknowledgement before other hosts are asked to
        probe. */
    std::chrono::milliseconds direct_probe_timeout{300};
    /** Number of hosts asked to probe a host that did not respond. */
    std::size_t indirect_probes = 2;
    /** Time in which a suspect can refute the suspicion, for up to 15 hosts.
        It grows with the logarithm of the number of hosts. */
    std::chrono::milliseconds suspicion_timeout{6000};
    /** Interval between probes of a listed but excluded host, so that regions
        rejoin after a network partition. */
    std::chrono::milliseconds rejoin_period{10000};
    /** Maximum number of rumours in one message. */
    std::size_t max_rumours = 4;
    /** A rumour is sent this many times the binary logarithm of the number of
        hosts. */
    std::size_t rumour_repeats = 3;
    /** Maximum total size of the digests in one message. */
    std::size_t digest_bytes = 64;
};

/** A message to send to a host. */
struct membership_send
{
    std::string host;
    membership_message message;
};

/** A change of a host's state in the local view. */
struct member_change
{
    std::string host;
    member_state state = member_state::alive;
};

/** A digest received from a host. */
struct received_digest
{
    std::string host;
    member_digest digest;
};

/** The actions that the caller performs after an event. */
struct membership_actions
{
    std::vector<membership_send> sends;
    std::vector<member_change> changes;
    std::vector<received_digest> digests;
};

/** A host in the local view. */
struct member
{
    listed_host listing;
    member_state state = member_state::alive;
    std::uint32_t incarnation = 0;
};

/** The local view of one entry host on which entry hosts are up.

    The platform's list defines the members of the fleet. The hosts also probe
    each other, which detects failures sooner than the list. Each host probes
    one other host per period, in an order that reaches every host once per
    round. A host that does not respond is probed through other hosts, then
    suspected, and excluded if it does not refute the suspicion before the
    timeout. State updates are only carried by these messages, so that the cost
    per host does not depend on the number of hosts.

    The protocol follows Das, Gupta and Motivala, "SWIM: Scalable
    Weakly-consistent Infection-style Process Group Membership Protocol", 2002.
    In contrast to SWIM, the list defines the members: a listed host is never
    removed, and a host that is not listed is not added. A host that was itself
    paused does not suspect others for missing responses, as in Dadgar,
    Phillips and Currey, "Lifeguard", 2018.

    The view grants no authority; leases do.
*/
class membership_view
{
public:
    /** @param self  this host's id in the list
        @param seed  seed of the random order of probes */
    membership_view(std::string self, const membership_settings& settings,
                    std::uint64_t seed, time_point now);

    // =================================================================
    // Events

    /** Updates the members from the entry hosts in the platform's list. A
        snapshot with a lower revision than the last one is ignored. */
    membership_actions apply_host_list(const host_list_snapshot& snapshot,
                                       time_point now);

    /** Advances the protocol. Call this at least every 100 ms. */
    membership_actions tick(time_point now);

    /** Processes a message from another host. */
    membership_actions received(const membership_message& message,
                                time_point now);

    /** Announces to the other hosts that this host is stopping. */
    void leave();

    /** Sets the value that is attached to every message; an empty value removes
        it. If the values exceed the size limit, those with the highest topics
        are omitted. */
    void set_digest(std::uint8_t topic, const std::string& bytes);

    // =================================================================
    // State

    /** Returns the sorted ids of the hosts that are alive or suspect, including
        this host unless it is leaving. */
    std::vector<std::string> live_hosts() const;

    /** Returns the live hosts of one region. */
    std::vector<std::string> live_hosts(const std::string& region) const;

    /** Returns the local view of a host, or none if it is not listed. */
    std::optional<member> find(const std::string& host) const;

    /** Returns the number of listed entry hosts, including this host. */
    std::size_t size() const;

    /** Returns how long a host has been absent from the list, or none if it is
        listed or never was. The absence is recorded for an hour. */
    std::optional<std::chrono::milliseconds> absent_for(const std::string& host,
                                                        time_point now) const;

private:
    struct entry
    {
        listed_host listing;
        member_state state = member_state::alive;
        std::uint32_t incarnation = 0;
        time_point suspect_since;
    };

    struct pending_probe
    {
        std::string host;
        std::uint32_t sequence = 0;
        time_point sent;
        bool indirect_probes_sent = false;
    };

    /** A probe sent on behalf of another host. */
    struct relayed_probe
    {
        std::string requester;
        std::uint32_t requester_sequence = 0;
        std::uint32_t sequence = 0;
        time_point sent;
    };

    struct queued_rumour
    {
        member_rumour rumour;
        std::size_t sent = 0;
    };

    void update_sender(const membership_message& message, entry& host_entry,
                       time_point now, membership_actions& actions);
    void apply(const member_rumour& rumour, time_point now,
               membership_actions& actions);
    void set_state(const std::string& host, entry& host_entry,
                   member_state state, std::uint32_t incarnation,
                   time_point now, membership_actions& actions);
    void refute(const member_rumour& rumour);
    void queue_rumour(const member_rumour& rumour);
    void send(const std::string& host, membership_message message,
              membership_actions& actions);

    void start_probe(time_point now, membership_actions& actions);
    void send_probe(const std::string& host, std::uint32_t sequence,
                    membership_actions& actions);
    void send_indirect_probes(membership_actions& actions);
    void finish_probe(time_point now, membership_actions& actions);
    void probe_excluded(membership_actions& actions);
    void expire_suspects(time_point now, membership_actions& actions);
    void recover_from_pause(time_point now);
    void acknowledge_probe(const membership_message& message,
                           membership_actions& actions);
    void relay_probe(const membership_message& message, time_point now,
                     membership_actions& actions);
    void acknowledged(const membership_message& message,
                      membership_actions& actions);
    std::optional<std::string> next_in_round();
    std::size_t max_rumour_sends() const;
    std::chrono::milliseconds suspicion_timeout() const;
    std::size_t binary_digits() const;

    std::string self_;
    membership_settings settings_;
    std::mt19937_64 generator_;
    std::uint64_t revision_ = 0;
    std::uint32_t incarnation_ = 0;
    std::uint32_t last_sequence_ = 0;
    bool leaving_ = false;
    std::map<std::string, entry> hosts_;
    /** Hosts that have been suspected and may have recovered since. */
    std::vector<std::string> suspects_;
    std::map<std::string, time_point> absent_since_;
    std::vector<std::string> round_;
    std::optional<pending_probe> probe_;
    std::vector<relayed_probe> relayed_;
    std::vector<queued_rumour> rumours_;
    std::map<std::uint8_t, std::string> digests_;
    time_point last_tick_;
    time_point next_probe_;
    time_point next_rejoin_;
};

} // namespace hibiscusferry

#endif
