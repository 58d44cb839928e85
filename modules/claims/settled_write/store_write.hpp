#ifndef HIBISCUSFERRY_CLAIMS_SETTLED_WRITE_STORE_WRITE_HPP
#define HIBISCUSFERRY_CLAIMS_SETTLED_WRITE_STORE_WRITE_HPP

#include "claims/settled_write/row_stamp.hpp"
#include "foundation/foundation.hpp"
#include "storage/storage.hpp"
#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace hibiscusferry
{

/** Requests that a transaction be committed. */
struct commit_step
{
    table_transaction transaction;
};

/** Requests that a row be read. */
struct read_step
{
    std::string key;
};

/** The next request of a store_write to the table service. */
using store_step = std::variant<commit_step, read_step>;

/** Progress of a store_write. */
enum class write_state
{
    unsettled,  ///< may still take effect
    committed,  ///< has taken effect
    conflicted, ///< a condition failed; never takes effect
    abandoned   ///< abandoned; never takes effect
};

/** A transaction and the data required to determine its outcome. */
struct write_plan
{
    table_transaction transaction;
    /** A row that is both a condition and a write of the transaction. Its
        value is stamped (row_stamp) with marker_id. */
    std::string marker_key;
    std::string marker_id;
    /** Current value of the marker row; empty if the row is absent. */
    std::string marker_previous;
    /** Write id of the tombstone if one has to be written. */
    std::string tombstone_id;
    /** After this time the write is not retried; only its outcome is
        determined. */
    time_point abandon_at = time_point::max();
    /** Whether the same change may already be in flight on another path. */
    bool may_be_in_flight = false;
};

/** Drives one conditional transaction to a definite outcome.

    If a response is lost, the marker row is read back. A missing stamp is not
    conclusive, because the write may still be in transit. The same
    transaction is therefore sent again, which is safe because its conditions
    let it take effect at most once. If the write is to be abandoned, a
    tombstone is written to the marker row under the same condition instead,
    after which the transaction can only fail.

    The caller executes each returned step once and reports its result once,
    with commit_completed() or read_completed(). During a backoff, tick()
    returns the next step at the time given by next_wake(). The class assumes
    that a row that the transaction requires to be absent is not deleted while
    a copy of the transaction may still arrive.
*/
class store_write
{
public:
    /** Backoff before the first retry; it doubles up to max_backoff. */
    static constexpr std::chrono::milliseconds initial_backoff{50};
    static constexpr std::chrono::milliseconds max_backoff{1600};

    explicit store_write(write_plan plan)
        : plan_(std::move(plan))
        , in_doubt_(plan_.may_be_in_flight)
    {
    }

    /** Starts the write.
        @returns the first step */
    std::optional<store_step> begin(time_point now)
    {
        return next_commit(now);
    }

    /** Processes the result of a commit_step.
        @returns the next step, if one is due at once */
    std::optional<store_step>
    commit_completed(const result<commit_receipt>& store_result, time_point now)
    {
        if (!store_result)
            return commit_failed(store_result.error(), now);
        if (!store_result.value().committed)
            return handle_conflict(store_result.value().conflicts);
        version_ = store_result.value().version;
        state_ = sending_tombstone_ ? write_state::abandoned
                                    : write_state::committed;
        return std::nullopt;
    }

    /** Processes the result of a read_step.
        @returns the next step, if one is due at once */
    std::optional<store_step>
    read_completed(const result<table_row>& store_result, time_point now)
    {
        if (!store_result && store_result.error() != platform_error::not_found)
            return schedule_retry(now);
        const table_row row = store_result ? store_result.value()
                                           : table_row{plan_.marker_key, "", 0};
        if (row_stamp::parse(row.value).contains(plan_.marker_id))
            return handle_conflict({row});
        return next_commit(now);
    }

    /** @returns the step that is due at `now`, if there is one */
    std::optional<store_step> tick(time_point now)
    {
        if (state_ != write_state::unsettled || !waiting_ || now < wake_)
            return std::nullopt;
        waiting_ = false;
        if (in_doubt_)
            return store_step(read_step{plan_.marker_key});
        return next_commit(now);
    }

    /** Stops retrying. From now on only the outcome of the write is
        determined. */
    void abandon(time_point now)
    {
        plan_.abandon_at = std::min(plan_.abandon_at, now);
    }

    write_state state() const
    {
        return state_;
    }

    /** @returns whether a copy of the transaction may still be in transit */
    bool in_doubt() const
    {
        return in_doubt_ && state_ == write_state::unsettled;
    }

    /** @returns the version of the written rows; 0 if nothing was written or
                 another writer has updated the marker row since */
    row_version version() const
    {
        return version_;
    }

    /** @returns the rows whose conditions failed; set if the state is
                 write_state::conflicted */
    const std::vector<table_row>& conflicts() const
    {
        return conflicts_;
    }

    /** @returns the time at which tick() has a step; max() while a result is
                 outstanding */
    time_point next_wake() const
    {
        return waiting_ ? wake_ : time_point::max();
    }

    const write_plan& plan() const
    {
        return plan_;
    }

private:
    std::optional<store_step> next_commit(time_point now)
    {
        if (now < plan_.abandon_at)
        {
            sending_tombstone_ = false;
            return store_step(commit_step{plan_.transaction});
        }
        if (!in_doubt_)
        {
            state_ = write_state::abandoned;
            return std::nullopt;
        }
        sending_tombstone_ = true;
        return store_step(commit_step{tombstone()});
    }

    std::optional<store_step> commit_failed(const std::error_code& error,
                                            time_point now)
    {
        const bool had_no_effect = error == platform_error::not_sent ||
                                   error == platform_error::refused;
        if (!had_no_effect)
            in_doubt_ = true;
        return schedule_retry(now);
    }

    std::optional<store_step> schedule_retry(time_point now)
    {
        if (now >= plan_.abandon_at && !in_doubt_)
            return next_commit(now);
        backoff_ = backoff_.count() == 0 ? initial_backoff
                                         : std::min(2 * backoff_, max_backoff);
        wake_ = in_doubt_ ? now + backoff_
                          : std::min(now + backoff_, plan_.abandon_at);
        waiting_ = true;
        return std::nullopt;
    }

    std::optional<store_step> handle_conflict(std::vector<table_row> conflicts)
    {
        for (const table_row& row : conflicts)
        {
            if (row.key == plan_.marker_key && settle_by_marker(row))
                return std::nullopt;
        }
        conflicts_ = std::move(conflicts);
        state_ = write_state::conflicted;
        return std::nullopt;
    }

    /** Determines the outcome if the marker row shows that this write or its
        tombstone has taken effect.
        @returns whether the outcome was determined */
    bool settle_by_marker(const table_row& row)
    {
        const row_stamp stamp = row_stamp::parse(row.value);
        const bool is_committed = stamp.contains(plan_.marker_id);
        if (!is_committed && !stamp.contains(plan_.tombstone_id))
            return false;
        state_ = is_committed ? write_state::committed : write_state::abandoned;
        const std::string& id =
            is_committed ? plan_.marker_id : plan_.tombstone_id;
        version_ = stamp.is_newest(id) ? row.version : 0;
        return true;
    }

    table_transaction tombstone() const
    {
        table_transaction transaction;
        transaction.write_id = plan_.tombstone_id;
        for (const row_condition& condition : plan_.transaction.conditions)
        {
            if (condition.key == plan_.marker_key)
                transaction.conditions.push_back(condition);
        }
        // The payload is preserved so that readers of the row see no change.
        const std::string payload =
            row_stamp::parse(plan_.marker_previous).payload;
        transaction.writes.push_back(
            {plan_.marker_key,
             row_stamp::successor(plan_.marker_previous, plan_.tombstone_id,
                                  payload)});
        return transaction;
    }

    write_plan plan_;
    write_state state_ = write_state::unsettled;
    bool in_doubt_ = false;
    bool sending_tombstone_ = false;
    bool waiting_ = false;
    std::chrono::milliseconds backoff_{0};
    time_point wake_{};
    row_version version_ = 0;
    std::vector<table_row> conflicts_;
};

} // namespace hibiscusferry

#endif
