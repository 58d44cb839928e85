#include "claims/batch/claim_batcher.hpp"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <utility>

namespace hibiscusferry
{

namespace
{

std::size_t bytes_of(const row_update& update)
{
    std::size_t bytes = update.key.size() + update.value.size();
    for (const row_write& write : update.index_writes)
        bytes += write.key.size() + write.value.value_or("").size();
    return bytes;
}

const table_row* conflict_of(const std::vector<table_row>& conflicts,
                             const std::string& key)
{
    const auto found =
        std::find_if(conflicts.begin(), conflicts.end(),
                     [&key](const table_row& row) { return row.key == key; });
    return found == conflicts.end() ? nullptr : &*found;
}

} // namespace

claim_batcher::claim_batcher(const batch_limits& limits)
    : limits_(limits)
{
}

std::vector<batch_action> claim_batcher::submit(row_update update,
                                                time_point now)
{
    actions wanted;
    if (queue_.size() >= limits_.queue_length && !update.may_be_under_way)
    {
        wanted.emplace_back(
            update_outcome{update.id, update_result::not_written, 0, {}});
        return wanted;
    }
    earliest_abandon_ = std::min(earliest_abandon_, update.abandon_at);
    queue_.push_back({std::move(update), now + limits_.interval});
    start_batches(now, wanted);
    return wanted;
}

std::vector<batch_action> claim_batcher::commit_completed(
    std::uint64_t batch, const result<commit_receipt>& answer, time_point now)
{
    actions wanted;
    const auto found = batches_.find(batch);
    if (found == batches_.end())
        return wanted;
    proceed(batch, found->second.write.commit_completed(answer, now), now,
            wanted);
    return wanted;
}

std::vector<batch_action>
claim_batcher::read_completed(std::uint64_t batch,
                              const result<table_row>& answer, time_point now)
{
    actions wanted;
    const auto found = batches_.find(batch);
    if (found == batches_.end())
        return wanted;
    proceed(batch, found->second.write.read_completed(answer, now), now,
            wanted);
    return wanted;
}

std::vector<batch_action> claim_batcher::tick(time_point now)
{
    actions wanted;
    std::vector<std::uint64_t> due;
    for (const std::pair<const std::uint64_t, open_batch>& entry : batches_)
    {
        if (entry.second.write.next_wake() <= now)
            due.push_back(entry.first);
    }
    for (const std::uint64_t number : due)
        proceed(number, batches_.at(number).write.tick(now), now, wanted);
    if (now >= earliest_abandon_)
        drop_expired(now, wanted);
    start_batches(now, wanted);
    return wanted;
}

time_point claim_batcher::next_wake() const
{
    time_point wake = queue_.empty() ? time_point::max() : earliest_abandon_;
    for (const std::pair<const std::uint64_t, open_batch>& entry : batches_)
        wake = std::min(wake, entry.second.write.next_wake());
    if (!queue_.empty() && batches_.size() < limits_.open_batches &&
        busy_rows_.count(queue_.front().update.key) == 0)
        wake = std::min(wake, queue_.front().due);
    return wake;
}

std::size_t claim_batcher::open_updates() const
{
    std::size_t count = queue_.size();
    for (const std::pair<const std::uint64_t, open_batch>& entry : batches_)
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
                               queue_.size() >= limits_.updates_per_batch);
}

void claim_batcher::start_batches(time_point now, actions& wanted)
{
    while (batches_.size() < limits_.open_batches && batch_is_due(now))
    {
        std::vector<queued_update> updates = take_batch();
        if (updates.empty())
            return;
        open(std::move(updates), now, wanted);
    }
}

std::vector<claim_batcher::queued_update> claim_batcher::take_batch()
{
    std::vector<queued_update> taken;
    std::deque<queued_update> left;
    std::size_t bytes = 0;
    for (queued_update& queued : queue_)
    {
        bytes += bytes_of(queued.update);
        // One that needs a tombstone to be given up goes alone, since a
        // batch leaves its tombstone in one row only.
        const bool is_full =
            taken.size() >= limits_.updates_per_batch ||
            (!taken.empty() && (bytes > limits_.bytes_per_batch ||
                                queued.update.may_be_under_way ||
                                taken.front().update.may_be_under_way));
        if (!is_full && busy_rows_.insert(queued.update.key).second)
            taken.push_back(std::move(queued));
        else
            left.push_back(std::move(queued));
    }
    queue_ = std::move(left);
    return taken;
}

void claim_batcher::open(std::vector<queued_update> updates, time_point now,
                         actions& wanted)
{
    const std::uint64_t number = ++last_batch_;
    const row_update& first = updates.front().update;
    write_plan plan;
    plan.transaction.write_id = first.id + "/" + std::to_string(number);
    plan.marker_key = first.key;
    // Another path may have committed the first update alone, so that only
    // the transaction's own id proves the others.
    plan.marker_id = plan.transaction.write_id;
    plan.marker_previous = first.previous;
    plan.tombstone_id = "tombstone:" + plan.transaction.write_id;
    plan.may_be_under_way = first.may_be_under_way;
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
    const auto opened = batches_.emplace(
        number, open_batch{std::move(updates), store_write(std::move(plan))});
    proceed(number, opened.first->second.write.begin(now), now, wanted);
}

void claim_batcher::proceed(std::uint64_t number,
                            std::optional<store_step> step, time_point now,
                            actions& wanted)
{
    if (step)
    {
        if (std::holds_alternative<commit_step>(*step))
            ++commits_sent_;
        wanted.emplace_back(batch_step{number, std::move(*step)});
        return;
    }
    if (batches_.at(number).write.state() != write_state::unsettled)
        close(number, now, wanted);
}

void claim_batcher::close(std::uint64_t number, time_point now, actions& wanted)
{
    const auto found = batches_.find(number);
    const open_batch batch = std::move(found->second);
    batches_.erase(found);
    for (const queued_update& queued : batch.updates)
        busy_rows_.erase(queued.update.key);
    // From the last to the first, so that those tried again keep their order
    // at the head of the queue.
    for (auto queued = batch.updates.rbegin(); queued != batch.updates.rend();
         ++queued)
        end_update(*queued, batch.write, now, wanted);
    start_batches(now, wanted);
}

void claim_batcher::end_update(const queued_update& queued,
                               const store_write& write, time_point now,
                               actions& wanted)
{
    const row_update& update = queued.update;
    if (write.state() == write_state::committed)
    {
        wanted.emplace_back(update_outcome{
            update.id, update_result::committed, write.version(), {}});
        return;
    }
    const table_row* const present = conflict_of(write.conflicts(), update.key);
    if (present != nullptr)
    {
        const row_stamp stamp = row_stamp::parse(present->value);
        if (stamp.contains_update(update.id))
        {
            wanted.emplace_back(update_outcome{
                update.id,
                update_result::committed,
                stamp.is_newest_update(update.id) ? present->version : 0,
                {}});
            return;
        }
        wanted.emplace_back(
            update_outcome{update.id, update_result::conflicted, 0, *present});
        return;
    }
    if (update.abandon_at <= now)
    {
        wanted.emplace_back(
            update_outcome{update.id, update_result::not_written, 0, {}});
        return;
    }
    earliest_abandon_ = std::min(earliest_abandon_, update.abandon_at);
    queue_.push_front({update, now});
}

void claim_batcher::drop_expired(time_point now, actions& wanted)
{
    std::deque<queued_update> left;
    earliest_abandon_ = time_point::max();
    for (queued_update& queued : queue_)
    {
        if (queued.update.abandon_at <= now && !queued.update.may_be_under_way)
        {
            wanted.emplace_back(update_outcome{
                queued.update.id, update_result::not_written, 0, {}});
            continue;
        }
        if (!queued.update.may_be_under_way)
        {
            earliest_abandon_ =
                std::min(earliest_abandon_, queued.update.abandon_at);
        }
        left.push_back(std::move(queued));
    }
    queue_ = std::move(left);
}

} // namespace hibiscusferry
