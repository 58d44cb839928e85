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

/** The router's local view of one target. */
struct target_entry
{
    target_address address;
    std::uint64_t hash = 0;
    target_role role = target_role::mixed;
    target_state state = target_state::serving;
    target_health health = target_health::healthy;
    target_load load;
    std::uint64_t free_kv_tokens = 0;
    /** The earliest time at which the last report can have been measured; none
        before the first report. */
    std::optional<time_point> measured_at;
    target_load reported_load;
    time_point next_report;
    /** Whether the target's load has ever been polled. */
    bool polled = false;
    /** The target is no longer listed. The entry is kept until its last attempt
        ends. */
    bool delisted = false;
    /** The time until which a refusal excludes the target from new work. */
    time_point refused_until;
    std::uint32_t failures = 0;
    time_point probe_at;
    in_flight_work in_flight;
};

/** Timing and limits of a target table. */
struct target_table_settings
{
    subset_settings subset;
    /** The minimum interval between polls of one target's load. */
    std::chrono::milliseconds report_interval{1000};
    /** The maximum number of polls per second over all targets. */
    double reports_per_second = 3;
    /** How long a refusal as not run excludes a changing or busy target from
        new work, unless its own report shows another state earlier. */
    std::chrono::milliseconds refusal_backoff{500};
    /** The number of consecutive failed attempts after which a target is
        quarantined. */
    std::uint32_t max_consecutive_failures = 3;
    /** The delay before the first probe of a quarantined target; doubled after
        each failure, up to max_probe_delay. */
    std::chrono::milliseconds initial_probe_delay{500};
    std::chrono::milliseconds max_probe_delay{8000};
    /** The maximum number of this router's concurrent attempts at one
        target. */
    std::uint32_t target_concurrency = 32;
};

/** The targets of one service in this router's local view.

    The table combines delayed information (the host list and each target's load
    reports) with immediate information: refusals and closed connections, failed
    attempts, and this router's own attempts in flight, which are added to a
    report that was measured before them.

    A target that reported that it is leaving receives no new work, even if a
    later list or report shows it as serving, because ids are never reused.

    The memory used is proportional to the subset and the attempts in flight,
    not to the fleet. One object per service, to be used from a single thread.
    Events identify targets by id, the selector by index; an index is valid
    until the next call of set_targets().
*/
class target_table
{
public:
    target_table(std::string router_id, const target_table_settings& settings);

    /** Applies a new version of the host list.

        @param routers ids of all listed entry hosts
        @param targets all listed targets of the service
        @returns the ids of targets that are no longer used; close the
            connections to them when their last exchange ends
    */
    std::vector<std::string>
    set_targets(const std::vector<std::string>& routers,
                const std::vector<target_address>& targets, time_point now);

    /** A target's load report was received. The report also counts as a
        successful probe: a quarantined or suspected target becomes healthy.

        @param requested_at the time at which the report was requested
    */
    void report(const std::string& target, const load_report& report,
                time_point requested_at, time_point now);

    /** Returns the targets whose load has to be polled now: quarantined targets
        whose probe is due, and those with the oldest reports, within the limit
        per second. New targets, whose role is not known yet, are polled in
        addition to that limit, a bounded number at a time. Call this several
        times per second. */
    std::vector<std::string> targets_due_for_poll(time_point now);

    /** Polls a target's load at the next opportunity, because a change of the
        target was announced as completed and its role may be different. */
    void poll_soon(const std::string& target, time_point now);

    /** The target refused a request as not run.

        @param state the state that the target reported. `leaving` is permanent;
            `serving` means that the target is busy
    */
    void refused(const std::string& target, target_state state, time_point now);

    /** An attempt is about to be sent to the target. Call this before the first
        byte is sent. */
    void attempt_started(const std::string& target, const std::string& attempt,
                         double prefill_tokens, time_point now);

    /** The attempt's prefill completed: its first token was received. */
    void attempt_prefilled(const std::string& target,
                           const std::string& attempt, time_point now);

    /** The attempt ended, with any outcome. */
    void attempt_ended(const std::string& target, const std::string& attempt,
                       time_point now);

    /** The target sent a complete response. */
    void attempt_succeeded(const std::string& target);

    /** An attempt or probe failed because of the target; see connection_health
        for when this is the case.

        @returns true if the target is quarantined by this failure
    */
    bool attempt_failed(const std::string& target, time_point now);

    /** Returns true if the target can take new work, apart from the permission
        to send to it. */
    bool can_take_work(const target_entry& entry, time_point now) const;

    /** Returns true if none of the known targets can prefill or none can
        decode. set_targets() then uses one more cell. */
    bool is_missing_role(time_point now) const;

    /** All known targets, including those that currently take no work. */
    const std::vector<target_entry>& targets() const;

    /** Returns the entry of a target, or null. */
    const target_entry* find(const std::string& target) const;

    /** The number of this router's attempts in flight at a target. */
    std::size_t in_flight(const std::string& target) const;

    const target_table_settings& settings() const;

private:
    target_entry* find_entry(const std::string& target);
    target_entry update_entry(const target_address& address, time_point now);
    std::vector<std::string>
    retain_busy_targets(std::vector<target_entry>& updated);
    void index_targets();
    static void update_load(target_entry& entry);
    void refill_poll_budget(time_point now);
    void mark_polled(target_entry& entry, time_point now,
                     std::vector<std::string>& ids);

    std::string router_id_;
    target_table_settings settings_;
    std::size_t further_cells_ = 0;
    /** The number of polls currently allowed, as of the last refill. */
    double poll_budget_ = 0;
    time_point budget_updated_at_;
    std::vector<target_entry> targets_;
    std::unordered_map<std::string, std::size_t> indexes_;
};

} // namespace hibiscusferry

#endif
