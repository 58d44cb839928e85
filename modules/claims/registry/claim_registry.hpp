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

/** Decides what becomes of the calls that may run at most once.

    A call is claimed in the table service, conditional on the claim's
    absence, before its first byte leaves for a target; its outcome is
    recorded in the same row. Another call with the same key, at this or any
    other host, is answered from that row. A claim whose owner is gone, or
    silent past the call's time limit, is settled by a status look-up where
    the target offers one, and otherwise recorded as unknown and listed for
    operators; it is never run again.

    Every method returns the actions that follow, to be carried out in
    order; every action that asks for an answer gets exactly one. Used from
    one thread.
*/
class claim_registry
{
public:
    using actions = std::vector<claim_action>;

    /** @param process  id of this process, unique over time */
    claim_registry(std::string process, const claim_limits& limits);

    /** Tells the wall-clock time, for the records. Call it at the start and
        now and then. */
    void set_wall_time(wall_time_point wall, time_point now);

    // ====================================================================
    // Calls and targets
    // ====================================================================

    /** A call came from a caller. */
    actions call_received(const claim_call& call, time_point now);

    /** The target gave its whole answer to a started call. */
    actions call_completed(const std::string& call_id,
                           const stored_response& answer, time_point now);

    /** A started call did not run: no byte of it left, or every target it
        was sent to said that nothing was run. */
    actions call_not_run(const std::string& call_id, time_point now);

    /** A started call ended without an answer after a byte of it left. */
    actions call_interrupted(const std::string& call_id, time_point now);

    /** The target's answer to query_call_status.
        @param answer  read only when the status is done */
    actions call_status_received(const std::string& row_key, call_status status,
                                 const stored_response& answer, time_point now);

    // ====================================================================
    // Store
    // ====================================================================

    /** The end of an update. */
    actions update_completed(const update_outcome& outcome, time_point now);

    /** The answer to read_claim. */
    actions row_read(const std::string& row_key,
                     const result<table_row>& answer, time_point now);

    /** The answer to store_body. */
    actions body_stored(const std::string& row_key, const result<void>& answer,
                        time_point now);

    // ====================================================================
    // Time and other processes
    // ====================================================================

    /** Whatever is due now. */
    actions tick(time_point now);

    /** When tick() should be called next; max() when nothing is due. */
    time_point next_wake() const;

    /** A process cannot run any more, beyond doubt. */
    actions owner_gone(const std::string& process, time_point now);

    /** Begins to look through all claims without an outcome, so that those
        of lost owners are settled though no caller asks again. To be called
        on one host of the fleet, every minute or so. */
    actions begin_sweep(time_point now);

    /** A page asked for by scan_claims. */
    actions rows_scanned(const std::string& prefix,
                         const result<std::vector<table_row>>& rows,
                         time_point now);

    /** Claims of this process without a recorded outcome; a planned stop
        waits until there are none. */
    std::size_t calls_in_flight() const;

    /** Claims of other processes watched or being settled here. */
    std::size_t observed_claims() const;

private:
    enum class entry_stage
    {
        claiming,   ///< the claim is being written
        running,    ///< the call is at a target
        storing,    ///< the answer's body goes to the object store
        recording,  ///< the outcome is being written
        observing,  ///< another process's claim; waits for its time limit
        reading,    ///< the row is being read
        looking_up, ///< the target is asked what became of the call
        waiting     ///< before the next status look-up or repetition
    };

    /** What is known here of one key. */
    struct entry
    {
        entry_stage stage = entry_stage::claiming;
        /** The stage that begins again after waiting. */
        entry_stage next_stage = entry_stage::claiming;
        /** A call of this process that waits for its answer, or runs. */
        std::optional<claim_call> call;
        bool is_answered = false;
        /** Whether the record is that of a claim of this process. */
        bool is_own = false;
        claim_record record;
        /** The row as last known. */
        std::optional<row_version> version;
        std::string value;
        std::string update_id;
        std::uint32_t claims_tried = 0;
        time_point stage_wake = time_point::max();
        time_point owner_limit = time_point::max();
        time_point status_limit = time_point::max();
        time_point registered_wake = time_point::max();
    };
    using entry_map = std::unordered_map<std::string, entry>;

    // Claiming.
    void submit_claim(const std::string& row_key, entry& subject,
                      time_point now, actions& wanted);
    void claim_ended(const std::string& row_key, entry& subject,
                     const update_outcome& outcome, time_point now,
                     actions& wanted);
    void claim_committed(const std::string& row_key, entry& subject,
                         time_point now, actions& wanted);
    void join(const std::string& row_key, entry& subject,
              const claim_call& call, actions& wanted);
    void answer_from_record(entry& subject, actions& wanted);

    // What a row says.
    void row_found(const std::string& row_key, entry& subject,
                   const table_row& row, time_point now, actions& wanted);
    void record_found(const std::string& row_key, entry& subject,
                      time_point now, actions& wanted);
    void own_record_found(const std::string& row_key, entry& subject,
                          time_point now, actions& wanted);
    void claimed_found(const std::string& row_key, entry& subject,
                       time_point now, actions& wanted);
    void resolve(const std::string& row_key, entry& subject, time_point now,
                 actions& wanted);
    void give_up_lookup(const std::string& row_key, entry& subject,
                        time_point now, actions& wanted);

    // Recording an outcome.
    void settle(const std::string& row_key, entry& subject,
                const stored_response& answer, time_point now, actions& wanted);
    void record(const std::string& row_key, entry& subject, claim_state state,
                time_point now, actions& wanted);
    void submit_record(const std::string& row_key, entry& subject,
                       time_point now, actions& wanted);
    void record_ended(const std::string& row_key, entry& subject,
                      const update_outcome& outcome, time_point now,
                      actions& wanted);
    void record_conflicted(const std::string& row_key, entry& subject,
                           const table_row& present, time_point now,
                           actions& wanted);

    // Common parts.
    void begin_stage(const std::string& row_key, entry& subject,
                     entry_stage stage, time_point now, actions& wanted);
    void wait(entry& subject, entry_stage next, time_point until);
    void answer(entry& subject, claim_verdict verdict, actions& wanted);
    void notice(event_number number, const entry& subject,
                actions& wanted) const;
    void pass_wake(const std::string& row_key, entry& subject, time_point now,
                   actions& wanted);
    void observe(const claim_record& seen, time_point limit);
    entry* running_entry(const std::string& call_id);
    update_claim make_update(const std::string& row_key, entry& subject,
                             std::vector<row_write> index_writes);
    void schedule(const std::string& row_key);
    void erase(const std::string& row_key);
    std::chrono::seconds wall_seconds(time_point now) const;

    std::string process_;
    claim_limits limits_;
    entry_map entries_;
    /** Row keys of the calls of this process. */
    std::unordered_map<std::string, std::string> calls_;
    /** Row keys by update in flight. */
    std::unordered_map<std::string, std::string> updates_;
    std::set<std::pair<time_point, std::string>> wakes_;
    std::set<std::string> gone_owners_;
    std::uint64_t last_update_ = 0;
    std::chrono::nanoseconds wall_offset_{0};
};

} // namespace hibiscusferry

#endif
