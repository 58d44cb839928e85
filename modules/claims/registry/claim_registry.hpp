#ifndef HIBISCUSFERRY_CLAIMS_REGISTRY_CLAIM_REGISTRY_HPP
#define HIBISCUSFERRY_CLAIMS_REGISTRY_CLAIM_REGISTRY_HPP

#include "claims/registry/claim_call.hpp"
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace hibiscusferry
{

/** Enforces at-most-once execution of calls and determines their outcomes.

    Before the first byte of a call is sent to a target, the call is claimed in
    the table service, on condition that no claim exists. Its outcome is
    recorded in the same row, from which another call with the same key is
    answered on any host. If the owner of a claim has terminated, or has not
    recorded an outcome within its owner timeout, the claim is settled by a
    status query if the target supports one. Otherwise it is recorded as
    unknown and listed for operators. It is never run again.

    Every method returns the resulting actions, which must be executed in
    order. Exactly one result must be reported for every action that requests
    one. The class must be used from one thread.
*/
class claim_registry
{
public:
    using actions = std::vector<claim_action>;

    /** @param process  id of this process, different for each incarnation */
    claim_registry(std::string process, const claim_limits& limits);

    /** Sets the wall-clock time used in records. Must be called at start-up
        and periodically afterwards. */
    void set_wall_time(wall_time_point wall, time_point now);

    // ====================================================================
    // Calls and targets
    // ====================================================================

    /** Starts processing a caller's call. */
    actions call_received(const claim_call& call, time_point now);

    /** Reports that the target completed a started call with a response. */
    actions call_completed(const std::string& call_id,
                           const stored_response& response, time_point now);

    /** Reports that a started call did not run: no byte of it was sent, or
        every target that it was sent to reported that it ran nothing. */
    actions call_not_run(const std::string& call_id, time_point now);

    /** Reports that a started call ended without a response after at least
        one byte of it was sent. */
    actions call_interrupted(const std::string& call_id, time_point now);

    /** Reports the result of query_call_status.
        @param response  ignored unless the status is call_status::done */
    actions call_status_received(const std::string& row_key, call_status status,
                                 const stored_response& response,
                                 time_point now);

    // ====================================================================
    // Store
    // ====================================================================

    /** Reports the outcome of an update. */
    actions update_completed(const update_outcome& outcome, time_point now);

    /** Reports the result of read_claim. */
    actions row_read(const std::string& row_key, const result<table_row>& row,
                     time_point now);

    /** Reports the result of store_body. */
    actions body_stored(const std::string& row_key, const result<void>& stored,
                        time_point now);

    // ====================================================================
    // Time and other processes
    // ====================================================================

    /** Performs all work that is due at `now`. */
    actions tick(time_point now);

    /** @returns the time of the next call of tick(); max() if none is needed
     */
    time_point next_wake() const;

    /** Reports that a process has certainly terminated. */
    actions owner_terminated(const std::string& process, time_point now);

    /** Starts a scan of all claims without an outcome, so that claims of lost
        owners are settled even if no caller retries. Should be called about
        once a minute, on one host of the fleet. */
    actions begin_sweep(time_point now);

    /** Reports the page of rows requested by scan_claims. */
    actions rows_scanned(const std::string& prefix,
                         const result<std::vector<table_row>>& rows,
                         time_point now);

    /** @returns the number of claims of this process without a recorded
                 outcome; a planned shutdown waits until it is zero */
    std::size_t calls_in_flight() const;

    /** @returns the number of claims of other processes that are observed or
                 being settled by this one */
    std::size_t observed_claims() const;

private:
    enum class entry_stage
    {
        claiming,  ///< the claim is being committed
        running,   ///< the call is running at a target
        storing,   ///< the response body is being written to the object store
        recording, ///< the outcome is being committed
        observing, ///< claim of another process, until its owner times out
        reading,   ///< the row is being read
        querying_status, ///< the target is being queried for the call's status
        waiting          ///< backoff before next_stage
    };

    /** Local state of one key. */
    struct entry
    {
        entry_stage stage = entry_stage::claiming;
        /** The stage entered after waiting. */
        entry_stage next_stage = entry_stage::claiming;
        /** A call of this process that is running or awaits its response. */
        std::optional<claim_call> call;
        bool is_answered = false;
        /** Whether the record is a claim of this process. */
        bool is_own = false;
        claim_record record;
        /** Version and value of the row as last read or written. */
        std::optional<row_version> version;
        std::string value;
        std::string update_id;
        std::uint32_t claim_attempts = 0;
        time_point stage_wake = time_point::max();
        time_point owner_deadline = time_point::max();
        time_point status_deadline = time_point::max();
        time_point registered_wake = time_point::max();
    };
    using entry_map = std::unordered_map<std::string, entry>;

    // Claiming
    void submit_claim(const std::string& row_key, entry& claim, time_point now,
                      actions& next_actions);
    void claim_update_completed(const std::string& row_key, entry& claim,
                                const update_outcome& outcome, time_point now,
                                actions& next_actions);
    void claim_committed(const std::string& row_key, entry& claim,
                         time_point now, actions& next_actions);
    void join(const std::string& row_key, entry& claim, const claim_call& call,
              actions& next_actions);
    void respond_from_record(entry& claim, actions& next_actions);

    // Processing of rows
    void process_row(const std::string& row_key, entry& claim,
                     const table_row& row, time_point now,
                     actions& next_actions);
    void process_record(const std::string& row_key, entry& claim,
                        time_point now, actions& next_actions);
    void process_own_record(const std::string& row_key, entry& claim,
                            time_point now, actions& next_actions);
    void process_claimed_record(const std::string& row_key, entry& claim,
                                time_point now, actions& next_actions);
    void resolve(const std::string& row_key, entry& claim, time_point now,
                 actions& next_actions);
    void abandon_status_query(const std::string& row_key, entry& claim,
                              time_point now, actions& next_actions);

    // Recording of outcomes
    void settle(const std::string& row_key, entry& claim,
                const stored_response& response, time_point now,
                actions& next_actions);
    void record(const std::string& row_key, entry& claim, claim_state state,
                time_point now, actions& next_actions);
    void submit_record(const std::string& row_key, entry& claim, time_point now,
                       actions& next_actions);
    void record_update_completed(const std::string& row_key, entry& claim,
                                 const update_outcome& outcome, time_point now,
                                 actions& next_actions);
    void record_conflicted(const std::string& row_key, entry& claim,
                           const table_row& present, time_point now,
                           actions& next_actions);

    // Helper functions
    void begin_stage(const std::string& row_key, entry& claim,
                     entry_stage stage, time_point now, actions& next_actions);
    void wait(entry& claim, entry_stage next, time_point until);
    void respond(entry& claim, claim_verdict verdict, actions& next_actions);
    void emit_event(event_number number, const entry& claim,
                    actions& next_actions) const;
    void handle_wake(const std::string& row_key, entry& claim, time_point now,
                     actions& next_actions);
    void observe(const claim_record& observed, time_point limit);
    entry* running_entry(const std::string& call_id);
    update_claim make_update(const std::string& row_key, entry& claim,
                             std::vector<row_write> index_writes);
    void schedule(const std::string& row_key);
    void erase(const std::string& row_key);
    std::chrono::seconds wall_seconds(time_point now) const;

    std::string process_;
    claim_limits limits_;
    entry_map entries_;
    /** Row keys by call id, for the calls of this process. */
    std::unordered_map<std::string, std::string> calls_;
    /** Row keys by update id, for the updates in flight. */
    std::unordered_map<std::string, std::string> updates_;
    std::set<std::pair<time_point, std::string>> wakes_;
    std::set<std::string> terminated_owners_;
    std::uint64_t last_update_ = 0;
    std::chrono::nanoseconds wall_offset_{0};
};

} // namespace hibiscusferry

#endif
