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

/** Requests one step of a batch at the table service. The result is reported
    with commit_completed() or read_completed() and the same batch number. */
struct batch_step
{
    std::uint64_t batch = 0;
    store_step step;
};

/** An action requested by the batcher, or an outcome that it reports. */
using batch_action = std::variant<batch_step, update_outcome>;

/** Limits of a claim_batcher. */
struct batch_limits
{
    /** Maximum time for which an update waits to be batched with others. */
    std::chrono::milliseconds interval{20};
    std::size_t max_updates_per_batch = 64;
    /** Maximum size of the keys and values in a batch. */
    std::size_t max_bytes_per_batch = 512U << 10;
    /** Maximum number of concurrent batches at the table service. */
    std::size_t max_batches_in_flight = 2;
    /** Maximum number of queued updates; further ones are reported as not
        written. */
    std::size_t max_queue_length = 4096;
};

/** Group commit: commits the conditional updates of many callers in one
    transaction.

    Because a transaction is atomic, updates that conflict are removed from it
    and reported as conflicted, and the remaining ones are retried. If the
    response to a batch is lost, the outcome of the whole batch is determined
    (store_write) before any of its updates is placed in another batch. Two
    updates of the same row are never in transactions at the same time. Each
    submitted update has exactly one outcome.
*/
class claim_batcher
{
public:
    explicit claim_batcher(const batch_limits& limits);

    /** Enqueues an update. */
    std::vector<batch_action> submit(row_update update, time_point now);

    /** Processes the result of a commit_step of a batch. */
    std::vector<batch_action>
    commit_completed(std::uint64_t batch,
                     const result<commit_receipt>& store_result,
                     time_point now);

    /** Processes the result of a read_step of a batch. */
    std::vector<batch_action>
    read_completed(std::uint64_t batch, const result<table_row>& store_result,
                   time_point now);

    /** Performs all work that is due at `now`. */
    std::vector<batch_action> tick(time_point now);

    /** @returns the time of the next call of tick(); max() if none is needed
     */
    time_point next_wake() const;

    /** @returns the number of updates without an outcome */
    std::size_t updates_in_flight() const;

    /** @returns the number of transactions sent, including tombstones and
                 retries */
    std::uint64_t commits_sent() const;

private:
    struct queued_update
    {
        row_update update;
        time_point due;
    };
    struct batch_in_flight
    {
        std::vector<queued_update> updates;
        store_write write;
    };
    using actions = std::vector<batch_action>;

    void start_batches(time_point now, actions& next_actions);
    bool batch_is_due(time_point now) const;
    std::vector<queued_update> next_batch();
    void start_batch(std::vector<queued_update> updates, time_point now,
                     actions& next_actions);
    void handle_step(std::uint64_t number, std::optional<store_step> step,
                     time_point now, actions& next_actions);
    void finish_batch(std::uint64_t number, time_point now,
                      actions& next_actions);
    void complete_update(const queued_update& queued, const store_write& write,
                         time_point now, actions& next_actions);
    void expire_updates(time_point now, actions& next_actions);

    batch_limits limits_;
    std::deque<queued_update> queue_;
    std::map<std::uint64_t, batch_in_flight> batches_;
    /** Keys of the rows updated by batches in flight. */
    std::set<std::string> rows_in_flight_;
    /** Lower bound of the abandon_at times in the queue. */
    time_point earliest_abandon_ = time_point::max();
    std::uint64_t last_batch_ = 0;
    std::uint64_t commits_sent_ = 0;
};

} // namespace hibiscusferry

#endif
