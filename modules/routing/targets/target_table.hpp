#ifndef HIBISCUSFERRY_ROUTING_TARGETS_TARGET_TABLE_HPP
#define HIBISCUSFERRY_ROUTING_TARGETS_TARGET_TABLE_HPP

#include "routing/targets/in_flight_work.hpp"
#include "routing/targets/target.hpp"
#include "routing/targets/target_subset.hpp"
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace hibiscusferry
{

/** What the router knows of one target. */
struct target_entry
{
    target_address address;
    std::uint64_t hash = 0;
    target_role role = target_role::mixed;
    target_state state = target_state::serving;
    target_health health = target_health::healthy;
    target_load load;
    std::uint64_t free_kv_tokens = 0;
    /** When the last report was measured, at the earliest; none before the
        first. */
    std::optional<time_point> measured_at;
    target_load reported_load;
    time_point next_report;
    /** Whether its load was ever asked for. */
    bool asked = false;
    /** In the list no more; kept until its last attempt has ended. */
    bool delisted = false;
    /** Until when a refusal keeps new work away. */
    time_point refused_until;
    std::uint32_t failures = 0;
    time_point probe_at;
    in_flight_work in_flight;
};

/** Timing of a target table. */
struct target_table_settings
{
    subset_settings subset;
    /** How often a target's load is asked for, at most ... */
    std::chrono::milliseconds report_interval{1000};
    /** ... and how many loads are asked for a second, over all targets. */
    double reports_per_second = 3;
    /** How long a refusal as not run keeps new work away from a target that
        is changing, or busy, unless its own report says otherwise. */
    std::chrono::milliseconds refusal_backoff{500};
    /** Failed attempts in a row after which a target is out. */
    std::uint32_t max_consecutive_failures = 3;
    /** First pause before an out target is probed; doubled up to the
        greatest. */
    std::chrono::milliseconds initial_probe_delay{500};
    std::chrono::milliseconds max_probe_delay{8000};
    /** Concurrent attempts of this router at one target. */
    std::uint32_t target_concurrency = 32;
};

/** The targets of one service as this router knows them.

    It joins what comes late with what is known at once. Late: the host list
    and each target's load reports. At once: the target's own refusals and
    closed connections, failed attempts, and this router's own work in
    flight, which is added to a report that was measured before it.

    A target that has said that it is leaving gets no new work any more, also
    when a later list or report says that it serves: ids are never used again.

    Memory follows the subset and the attempts in flight, not the fleet. One
    per service, used from one thread. Targets are named by id in events and
    by index to the picker; an index stays valid until the next set_targets().
*/
class target_table
{
public:
    target_table(std::string router_id, const target_table_settings& settings);

    /** Takes over a reading of the host list.
        @param routers  ids of all listed entry hosts
        @param targets  all listed targets of the service
        @returns the ids of targets that are no longer used: connections to
                 them are closed when their last exchange ends */
    std::vector<std::string>
    set_targets(const std::vector<std::string>& routers,
                const std::vector<target_address>& targets, time_point now);

    /** A target's load report arrived. Also a probe that it passed: an out
        or suspect target is healthy again.
        @param asked_at  when the request for it was sent */
    void report(const std::string& target, const load_report& report,
                time_point asked_at, time_point now);

    /** The targets whose load is to be asked for now: out targets whose
        probe is due, and those with the oldest reports, as many as may be
        asked for a second. A new target, whose role is not known yet, is
        asked besides, some at once. Call a few times a second. */
    std::vector<std::string> targets_due_for_poll(time_point now);

    /** Asks for a target's load at the next opportunity: a change of it was
        announced to be over, so its role may be another. */
    void poll_soon(const std::string& target, time_point now);

    /** The target refused work as not run.
        @param state  what it said of itself: leaving counts for good; serving
                      means that it is busy */
    void refused(const std::string& target, target_state state, time_point now);

    /** An attempt leaves for the target. Call before the first byte. */
    void attempt_started(const std::string& target, const std::string& attempt,
                         double prefill_tokens, time_point now);

    /** The attempt's prefill is done: its first token has come. */
    void attempt_prefilled(const std::string& target,
                           const std::string& attempt, time_point now);

    /** The attempt has ended, in whatever way. */
    void attempt_ended(const std::string& target, const std::string& attempt,
                       time_point now);

    /** The target gave a whole answer. */
    void attempt_succeeded(const std::string& target);

    /** The target is to blame for a failed attempt or probe (see
        connection_health for when it is).
        @returns true when the target is out from now on */
    bool attempt_failed(const std::string& target, time_point now);

    /** Whether new work may go to the target, but for its permission. */
    bool can_take_work(const target_entry& entry, time_point now) const;

    /** Whether a role of the service is missing from the targets known:
        none can prefill or none can decode. set_targets() then takes one
        more cell. */
    bool is_missing_role(time_point now) const;

    /** All known targets, also those that take no work now. */
    const std::vector<target_entry>& targets() const;

    /** The entry of a target, or none. */
    const target_entry* find(const std::string& target) const;

    /** This router's attempts in flight at a target. */
    std::size_t in_flight(const std::string& target) const;

    const target_table_settings& settings() const;

private:
    target_entry* find_entry(const std::string& target);
    target_entry renew(const target_address& address, time_point now);
    std::vector<std::string>
    keep_or_drop_rest(std::vector<target_entry>& renewed);
    void index_targets();
    static void update_load(target_entry& entry);
    void allow_asking(time_point now);
    void ask(target_entry& entry, time_point now,
             std::vector<std::string>& ids);

    std::string router_id_;
    target_table_settings settings_;
    std::size_t further_cells_ = 0;
    /** Loads that may still be asked for, as of `asked_at_`. */
    double askable_ = 0;
    time_point asked_at_;
    std::vector<target_entry> targets_;
    std::unordered_map<std::string, std::size_t> indexes_;
};

} // namespace hibiscusferry

#endif
