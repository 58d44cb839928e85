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

/** Asks for a transaction to be committed. */
struct commit_step
{
    table_transaction transaction;
};

/** Asks for a row to be read. */
struct read_step
{
    std::string key;
};

/** What a store_write wants of the table service next. */
using store_step = std::variant<commit_step, read_step>;

/** How far a store_write has come. */
enum class write_state
{
    unsettled,  ///< may or may not take effect
    committed,  ///< has taken effect
    conflicted, ///< a condition failed; will never take effect
    abandoned   ///< given up; will never take effect
};

/** A transaction and what is needed to settle it. */
struct write_plan
{
    table_transaction transaction;
    /** A row that the transaction both conditions and writes, its value
        stamped (row_stamp) with marker_id. */
    std::string marker_key;
    std::string marker_id;
    /** The marker row's present value; empty when it is absent. */
    std::string marker_previous;
    /** Id of the tombstone, should one be needed. */
    std::string tombstone_id;
    /** From then on the write is no longer tried, only settled. */
    time_point abandon_at = time_point::max();
    /** Whether the same change may be under way by another path already. */
    bool may_be_under_way = false;
};

/** Drives one conditional transaction to a certain end.

    A lost answer is settled by reading the marker row back. A missing stamp
    proves nothing, since the write may still be on its way: the same
    transaction is sent again, which takes effect at most once because of its
    conditions; or, when it is to be given up, a tombstone is written to the
    marker row under the same condition, after which the transaction can only
    fail.

    Each step returned is to be carried out once and answered once, with
    commit_completed() or read_completed(). While a wait is due, tick() gives
    the next step; next_wake() says when. Assumes that no row of the
    transaction conditioned on absence is deleted while a copy of the
    transaction may still arrive.
*/
class store_write
{
public:
    /** Wait before the first repetition; doubled up to the greatest. */
    static constexpr std::chrono::milliseconds first_wait{50};
    static constexpr std::chrono::milliseconds greatest_wait{1600};

    explicit store_write(write_plan plan)
        : plan_(std::move(plan))
        , in_doubt_(plan_.may_be_under_way)
    {
    }

    /** The first step. */
    std::optional<store_step> begin(time_point now)
    {
        return next_commit(now);
    }

    /** Takes the answer to a commit_step. */
    std::optional<store_step>
    commit_completed(const result<commit_receipt>& answer, time_point now)
    {
        if (!answer)
            return commit_failed(answer.error(), now);
        if (!answer.value().committed)
            return conflict_found(answer.value().conflicts);
        version_ = answer.value().version;
        state_ = sending_tombstone_ ? write_state::abandoned
                                    : write_state::committed;
        return std::nullopt;
    }

    /** Takes the answer to a read_step. */
    std::optional<store_step> read_completed(const result<table_row>& answer,
                                             time_point now)
    {
        if (!answer && answer.error() != platform_error::not_found)
            return wait(now);
        const table_row row =
            answer ? answer.value() : table_row{plan_.marker_key, "", 0};
        if (row_stamp::parse(row.value).contains(plan_.marker_id))
            return conflict_found({row});
        return next_commit(now);
    }

    /** The step that is due now, if any. */
    std::optional<store_step> tick(time_point now)
    {
        if (state_ != write_state::unsettled || !waiting_ || now < wake_)
            return std::nullopt;
        waiting_ = false;
        if (in_doubt_)
            return store_step(read_step{plan_.marker_key});
        return next_commit(now);
    }

    /** Stops trying: from now on the write is only settled. */
    void abandon(time_point now)
    {
        plan_.abandon_at = std::min(plan_.abandon_at, now);
    }

    write_state state() const
    {
        return state_;
    }

    /** Whether a copy of the transaction may still be on its way. */
    bool in_doubt() const
    {
        return in_doubt_ && state_ == write_state::unsettled;
    }

    /** The version of the rows written; 0 when others have written the
        marker row since, or nothing was written. */
    row_version version() const
    {
        return version_;
    }

    /** The rows whose condition failed; set when conflicted. */
    const std::vector<table_row>& conflicts() const
    {
        return conflicts_;
    }

    /** When tick() will have a step; max() while an answer is awaited. */
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
        return wait(now);
    }

    std::optional<store_step> wait(time_point now)
    {
        if (now >= plan_.abandon_at && !in_doubt_)
            return next_commit(now);
        wait_ = wait_.count() == 0 ? first_wait
                                   : std::min(2 * wait_, greatest_wait);
        wake_ =
            in_doubt_ ? now + wait_ : std::min(now + wait_, plan_.abandon_at);
        waiting_ = true;
        return std::nullopt;
    }

    std::optional<store_step> conflict_found(std::vector<table_row> conflicts)
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

    /** Whether the marker row shows that this write, or its tombstone, has
        taken effect. */
    bool settle_by_marker(const table_row& row)
    {
        const row_stamp stamp = row_stamp::parse(row.value);
        const bool written = stamp.contains(plan_.marker_id);
        if (!written && !stamp.contains(plan_.tombstone_id))
            return false;
        state_ = written ? write_state::committed : write_state::abandoned;
        const std::string& id = written ? plan_.marker_id : plan_.tombstone_id;
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
        // The payload stays, so that readers of the row see no change.
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
    std::chrono::milliseconds wait_{0};
    time_point wake_{};
    row_version version_ = 0;
    std::vector<table_row> conflicts_;
};

} // namespace hibiscusferry

#endif
