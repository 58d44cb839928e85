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

/** Times and bounds of membership. */
struct membership_settings
{
    /** Time between probes of this host. */
    std::chrono::milliseconds probe_period{1000};
    /** Time before others are asked to probe in its place. */
    std::chrono::milliseconds direct_limit{300};
    /** Hosts asked to probe a host that did not answer. */
    std::size_t indirect_probes = 2;
    /** Time that a suspect has to refute, in a fleet of up to 15 hosts; grows
        with the logarithm of their number. */
    std::chrono::milliseconds suspicion_limit{6000};
    /** Time between probes of a host that is listed but excluded, so that
        regions that were apart find each other again. */
    std::chrono::milliseconds rejoin_period{10000};
    /** Rumours on one message. */
    std::size_t rumours = 4;
    /** How often a rumour is sent on, times the logarithm (base 2) of the
        number of hosts. */
    std::size_t rumour_repeats = 3;
    /** Bytes of all digests on one message. */
    std::size_t digest_bytes = 64;
};

/** A message to be sent to a host. */
struct membership_send
{
    std::string host;
    membership_message message;
};

/** A change of what a host is thought to be. */
struct member_change
{
    std::string host;
    member_state state = member_state::alive;
};

/** A digest that a host sent. */
struct received_digest
{
    std::string host;
    member_digest digest;
};

/** What the caller does after an event. */
struct membership_actions
{
    std::vector<membership_send> sends;
    std::vector<member_change> changes;
    std::vector<received_digest> digests;
};

/** One host as seen here. */
struct member
{
    listed_host listing;
    member_state state = member_state::alive;
    std::uint32_t incarnation = 0;
};

/** Which entry hosts are up, as one of them sees it.

    The platform's list says who belongs to the fleet; the hosts probe each
    other to know sooner than the list who is up. Each host probes one other
    in each period, in an order that reaches every host once in a round; one
    that does not answer is probed through others, then suspected, and
    excluded when it does not refute in time. News travels on these messages
    and on no others, so that the cost of a host does not depend on how many
    there are.

    After Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent
    Infection-style Process Group Membership Protocol", 2002. Unlike there
    the list decides who belongs: a host that is listed is never forgotten,
    and one that is not listed is not taken in. A host that was paused itself
    blames nobody for it, as in Dadgar, Phillips and Currey, "Lifeguard", 2018.

    Nothing here gives authority; leases do that.
*/
class membership_view
{
public:
    /** @param self  this host's id in the list
        @param seed  for the order of probes */
    membership_view(std::string self, const membership_settings& settings,
                    std::uint64_t seed, time_point now);

    // =================================================================
    // Events

    /** The platform's list was read; entry hosts are taken over. A reading
        with a lower revision is ignored. */
    membership_actions apply_host_list(const host_list_snapshot& reading,
                                       time_point now);

    /** To be called at least every 100 ms. */
    membership_actions tick(time_point now);

    membership_actions received(const membership_message& message,
                                time_point now);

    /** This host is stopping: the others are told. */
    void leave();

    /** Sets the value that goes with every message; an empty text removes
        it. Values beyond the bound are left out, later topics first. */
    void set_digest(std::uint8_t topic, const std::string& bytes);

    // =================================================================
    // State

    /** Ids of hosts that are alive or suspect, self included unless it is
        leaving; in order of id. */
    std::vector<std::string> live_hosts() const;

    /** As live_hosts(), of one region. */
    std::vector<std::string> live_hosts(const std::string& region) const;

    /** What is known of a host; none if it is not listed. */
    std::optional<member> find(const std::string& host) const;

    /** Listed entry hosts, self included. */
    std::size_t size() const;

    /** How long a host has been absent from the list; none if it is listed
        or was never. Kept for an hour. */
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

    struct open_probe
    {
        std::string host;
        std::uint32_t sequence = 0;
        time_point sent;
        bool asked_others = false;
    };

    /** A probe made in another host's place. */
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

    void hear_sender(const membership_message& message, entry& known,
                     time_point now, membership_actions& actions);
    void apply(const member_rumour& rumour, time_point now,
               membership_actions& actions);
    void set_state(const std::string& host, entry& known, member_state state,
                   std::uint32_t incarnation, time_point now,
                   membership_actions& actions);
    void refute(const member_rumour& rumour);
    void spread(const member_rumour& rumour);
    void send(const std::string& host, membership_message message,
              membership_actions& actions);

    void start_probe(time_point now, membership_actions& actions);
    void send_probe(const std::string& host, std::uint32_t sequence,
                    membership_actions& actions);
    void ask_others(membership_actions& actions);
    void finish_probe(time_point now, membership_actions& actions);
    void probe_excluded(membership_actions& actions);
    void expire_suspects(time_point now, membership_actions& actions);
    void recover_from_pause(time_point now);
    void answer_probe(const membership_message& message,
                      membership_actions& actions);
    void relay_probe(const membership_message& message, time_point now,
                     membership_actions& actions);
    void acknowledged(const membership_message& message,
                      membership_actions& actions);
    std::optional<std::string> next_in_round();
    std::size_t repeat_limit() const;
    std::chrono::milliseconds suspicion_limit() const;
    std::size_t binary_digits() const;

    std::string self_;
    membership_settings settings_;
    std::mt19937_64 generator_;
    std::uint64_t revision_ = 0;
    std::uint32_t incarnation_ = 0;
    std::uint32_t last_sequence_ = 0;
    bool leaving_ = false;
    std::map<std::string, entry> hosts_;
    /** Hosts that were suspected and may still be. */
    std::vector<std::string> suspects_;
    std::map<std::string, time_point> absent_since_;
    std::vector<std::string> round_;
    std::optional<open_probe> probe_;
    std::vector<relayed_probe> relayed_;
    std::vector<queued_rumour> rumours_;
    std::map<std::uint8_t, std::string> digests_;
    time_point last_tick_;
    time_point next_probe_;
    time_point next_rejoin_;
};

} // namespace hibiscusferry

#endif
