#include "claims/batch/claim_batcher.hpp"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <utility>

namespace hibiscusferry
{

namespace
{

std::size_t size_in_bytes(const row_update& update)
{
    std::size_t bytes = update.key.size() + update.value.size();
    for (const row_write& write : update.index_writes)
        bytes += write.key.size() + write.value.value_or("").size();
    return bytes;
}

const table_row* find_conflict(const std::vector<table_row>& conflicts,
                               const std::string& key)
{
    const auto position =
        std::find_if(conflicts.begin(), conflicts.end(),
                     [&key](const table_row& row) { return row.key == key; });
    return position == conflicts.end() ? nullptr : &*position;
}

} // namespace

claim_batcher::claim_batcher(const batch_limits& limits)
    : limits_(limits)
{
}

std::vector<batch_action> claim_batcher::submit(row_update update,
                                                time_point now)
{
    actions next_actions;
    if (queue_.size() >= limits_.max_queue_length && !update.may_be_in_flight)
    {
        next_actions.emplace_back(
            update_outcome{update.id, update_result::not_written, 0, {}});
        return next_actions;
    }
    earliest_abandon_ = std::min(earliest_abandon_, update.abandon_at);
    queue_.push_back({std::move(update), now + limits_.interval});
    start_batches(now, next_actions);
    return next_actions;
}

std::vector<batch_action>
claim_batcher::commit_completed(std::uint64_t batch,
                                const result<commit_receipt>& store_result,
                                time_point now)
{
    actions next_actions;
    const auto position = batches_.find(batch);
    if (position == batches_.end())
        return next_actions;
    handle_step(batch,
                position->second.write.commit_completed(store_result, now), now,
                next_actions);
    return next_actions;
}

std::vector<batch_action> claim_batcher::read_completed(
    std::uint64_t batch, const result<table_row>& store_result, time_point now)
{
    actions next_actions;
    const auto position = batches_.find(batch);
    if (position == batches_.end())
        return next_actions;
    handle_step(batch, position->second.write.read_completed(store_result, now),
                now, next_actions);
    return next_actions;
}

std::vector<batch_action> claim_batcher::tick(time_point now)
{
    actions next_actions;
    std::vector<std::uint64_t> due;
    for (const std::pair<const std::uint64_t, batch_in_flight>& entry :
         batches_)
    {
        if (entry.second.write.next_wake() <= now)
            due.push_back(entry.first);
    }
    for (const std::uint64_t number : due)
        handle_step(number, batches_.at(number).write.tick(now), now,
                    next_actions);
    if (now >= earliest_abandon_)
        expire_updates(now, next_actions);
    start_batches(now, next_actions);
    return next_actions;
}

time_point claim_batcher::next_wake() const
{
    time_point wake = queue_.empty() ? time_point::max() : earliest_abandon_;
    for (const std::pair<const std::uint64_t, batch_in_flight>& entry :
         batches_)
        wake = std::min(wake, entry.second.write.next_wake());
    if (!queue_.empty() && batches_.size() < limits_.max_batches_in_flight &&
        rows_in_flight_.count(queue_.front().update.key) == 0)
        wake = std::min(wake, queue_.front().due);
    return wake;
}

std::size_t claim_batcher::updates_in_flight() const
{
    std::size_t count = queue_.size();
    for (const std::pair<const std::uint64_t, batch_in_flight>& entry :
         batches_)
        count += entry.second.updates.size();
    return count;
}

std::uint64_t claim_batcher::commits_sent() const
{
    return commits_sent_;
}

bool claim_batcher::batch_is_due(time_point now) const
{
    return !queue_.empty() && (queue_.front().due <= now ||
                               queue_.size() >= limits_.max_updates_per_batch);
}

void claim_batcher::start_batches(time_point now, actions& next_actions)
{
    while (batches_.size() < limits_.max_batches_in_flight && batch_is_due(now))
    {
        std::vector<queued_update> updates = next_batch();
        if (updates.empty())
            return;
        start_batch(std::move(updates), now, next_actions);
    }
}

std::vector<claim_batcher::queued_update> claim_batcher::next_batch()
{
    std::vector<queued_update> selected;
    std::deque<queued_update> remaining;
    std::size_t bytes = 0;
    for (queued_update& queued : queue_)
    {
        bytes += size_in_bytes(queued.update);
        // An update that can only be abandoned with a tombstone is
        // committed alone, because a batch writes its tombstone to only one
        // row.
        const bool is_full =
            selected.size() >= limits_.max_updates_per_batch ||
            (!selected.empty() && (bytes > limits_.max_bytes_per_batch ||
                                   queued.update.may_be_in_flight ||
                                   selected.front().update.may_be_in_flight));
        if (!is_full && rows_in_flight_.insert(queued.update.key).second)
            selected.push_back(std::move(queued));
        else
            remaining.push_back(std::move(queued));
    }
    queue_ = std::move(remaining);
    return selected;
}

void claim_batcher::start_batch(std::vector<queued_update> updates,
                                time_point now, actions& next_actions)
{
    const std::uint64_t number = ++last_batch_;
    const row_update& first = updates.front().update;
    write_plan plan;
    plan.transaction.write_id = first.id + "/" + std::to_string(number);
    plan.marker_key = first.key;
    // Another path may have committed the first update alone. Only the id of
    // this transaction proves that the other updates were committed as well.
    plan.marker_id = plan.transaction.write_id;
    plan.marker_previous = first.previous;
    plan.tombstone_id = "tombstone:" + plan.transaction.write_id;
    plan.may_be_in_flight = first.may_be_in_flight;
    for (const queued_update& queued : updates)
    {
        const row_update& update = queued.update;
        plan.abandon_at = std::min(plan.abandon_at, update.abandon_at);
        plan.transaction.conditions.push_back({update.key, update.version});
        plan.transaction.writes.push_back({update.key, update.value});
        plan.transaction.writes.insert(plan.transaction.writes.end(),
                                       update.index_writes.begin(),
                                       update.index_writes.end());
    }
    plan.transaction.writes.front().value = row_stamp::successor(
        first.previous, plan.marker_id, row_stamp::parse(first.value).payload);
    const auto inserted =
        batches_.emplace(number, batch_in_flight{std::move(updates),
                                                 store_write(std::move(plan))});
    handle_step(number, inserted.first->second.write.begin(now), now,
                next_actions);
}

void claim_batcher::handle_step(std::uint64_t number,
                                std::optional<store_step> step, time_point now,
                                actions& next_actions)
{
    if (step)
    {
        if (std::holds_alternative<commit_step>(*step))
            ++commits_sent_;
        next_actions.emplace_back(batch_step{number, std::move(*step)});
        return;
    }
    if (batches_.at(number).write.state() != write_state::unsettled)
        finish_batch(number, now, next_actions);
}

void claim_batcher::finish_batch(std::uint64_t number, time_point now,
                                 actions& next_actions)
{
    const auto position = batches_.find(number);
    const batch_in_flight batch = std::move(position->second);
    batches_.erase(position);
    for (const queued_update& queued : batch.updates)
        rows_in_flight_.erase(queued.update.key);
    // Reverse order, so that retried updates keep their order at the head of
    // the queue.
    for (auto queued = batch.updates.rbegin(); queued != batch.updates.rend();
         ++queued)
        complete_update(*queued, batch.write, now, next_actions);
    start_batches(now, next_actions);
}

void claim_batcher::complete_update(const queued_update& queued,
                                    const store_write& write, time_point now,
                                    actions& next_actions)
{
    const row_update& update = queued.update;
    if (write.state() == write_state::committed)
    {
        next_actions.emplace_back(update_outcome{
            update.id, update_result::committed, write.version(), {}});
        return;
    }
    const table_row* const present =
        find_conflict(write.conflicts(), update.key);
    if (present != nullptr)
    {
        const row_stamp stamp = row_stamp::parse(present->value);
        if (stamp.contains_update(update.id))
        {
            next_actions.emplace_back(update_outcome{
                update.id,
                update_result::committed,
                stamp.is_newest_update(update.id) ? present->version : 0,
                {}});
            return;
        }
        next_actions.emplace_back(
            update_outcome{update.id, update_result::conflicted, 0, *present});
        return;
    }
    if (update.abandon_at <= now)
    {
        next_actions.emplace_back(
            update_outcome{update.id, update_result::not_written, 0, {}});
        return;
    }
    earliest_abandon_ = std::min(earliest_abandon_, update.abandon_at);
    queue_.push_front({update, now});
}

void claim_batcher::expire_updates(time_point now, actions& next_actions)
{
    std::deque<queued_update> remaining;
    earliest_abandon_ = time_point::max();
    for (queued_update& queued : queue_)
    {
        if (queued.update.abandon_at <= now && !queued.update.may_be_in_flight)
        {
            next_actions.emplace_back(update_outcome{
                queued.update.id, update_result::not_written, 0, {}});
            continue;
        }
        if (!queued.update.may_be_in_flight)
        {
            earliest_abandon_ =
                std::min(earliest_abandon_, queued.update.abandon_at);
        }
        remaining.push_back(std::move(queued));
    }
    queue_ = std::move(remaining);
}

} // namespace hibiscusferry
