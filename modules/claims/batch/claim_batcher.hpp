#ifndef HIBISCUSFERRY_CLAIMS_BATCH_CLAIM_BATCHER_HPP
#define HIBISCUSFERRY_CLAIMS_BATCH_CLAIM_BATCHER_HPP

#include "claims/batch/row_update.hpp"
#include "claims/settled_write/store_write.hpp"
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace hibiscusferry
{

/** Asks for a step of a batch at the table service; answered with
    commit_completed() or read_completed() of the same batch number. */
struct batch_step
{
    std::uint64_t batch = 0;
    store_step step;
};

/** What the batcher wants done, or tells. */
using batch_action = std::variant<batch_step, update_outcome>;

/** Limits of a claim_batcher. */
struct batch_limits
{
    /** How long an update waits for others. */
    std::chrono::milliseconds interval{20};
    std::size_t updates_per_batch = 64;
    /** Bytes of values in a batch. */
    std::size_t bytes_per_batch = 512U << 10;
    /** Batches at the table service at once. */
    std::size_t open_batches = 2;
    /** Updates waiting; more are refused as not written. */
    std::size_t queue_length = 4096;
};

/** Group commit: many callers' conditional updates in one transaction.

    A transaction commits all or nothing, so the updates that conflict are
    dropped from it and told so, and the rest goes again. A batch whose
    answer was lost is settled as a whole (store_write) before any of its
    updates is tried in another, and two updates of one row are never in
    transactions at the same time. Each update submitted gets one outcome.
*/
class claim_batcher
{
public:
    explicit claim_batcher(const batch_limits& limits);

    /** Takes an update in. */
    std::vector<batch_action> submit(row_update update, time_point now);

    /** The answer to a commit_step of a batch. */
    std::vector<batch_action>
    commit_completed(std::uint64_t batch, const result<commit_receipt>& answer,
                     time_point now);

    /** The answer to a read_step of a batch. */
    std::vector<batch_action> read_completed(std::uint64_t batch,
                                             const result<table_row>& answer,
                                             time_point now);

    /** What is due now. */
    std::vector<batch_action> tick(time_point now);

    /** When tick() should be called next; max() when nothing is due. */
    time_point next_wake() const;

    /** Updates without an outcome. */
    std::size_t open_updates() const;

    /** Transactions sent so far, tombstones and repetitions included. */
    std::uint64_t commits_sent() const;

private:
    struct queued_update
    {
        row_update update;
        time_point due;
    };
    struct open_batch
    {
        std::vector<queued_update> updates;
        store_write write;
    };
    using actions = std::vector<batch_action>;

    void start_batches(time_point now, actions& wanted);
    bool batch_is_due(time_point now) const;
    std::vector<queued_update> take_batch();
    void open(std::vector<queued_update> updates, time_point now,
              actions& wanted);
    void proceed(std::uint64_t number, std::optional<store_step> step,
                 time_point now, actions& wanted);
    void close(std::uint64_t number, time_point now, actions& wanted);
    void end_update(const queued_update& queued, const store_write& write,
                    time_point now, actions& wanted);
    void drop_expired(time_point now, actions& wanted);

    batch_limits limits_;
    std::deque<queued_update> queue_;
    std::map<std::uint64_t, open_batch> batches_;
    /** Rows of the updates in open batches. */
    std::set<std::string> busy_rows_;
    /** No later than the first abandon_at in the queue. */
    time_point earliest_abandon_ = time_point::max();
    std::uint64_t last_batch_ = 0;
    std::uint64_t commits_sent_ = 0;
};

} // namespace hibiscusferry

#endif
