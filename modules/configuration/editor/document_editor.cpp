#include "configuration/editor/document_editor.hpp"

#include <algorithm>
#include <utility>

namespace hibiscusferry
{

namespace
{

/** Backoff before a failed read is retried. */
constexpr std::chrono::milliseconds read_retry_backoff{200};

row_condition unchanged_condition(const table_row& row)
{
    row_condition condition{row.key, std::nullopt};
    if (row.version != 0)
        condition.version = row.version;
    return condition;
}

} // namespace

document_editor::document_editor(std::string process,
                                 const editor_limits& limits)
    : process_(std::move(process))
    , limits_(limits)
{
}

void document_editor::fleet_changed(std::vector<fleet_host> hosts)
{
    hosts_ = std::move(hosts);
}

document_editor::actions
document_editor::change_requested(const std::string& request_id,
                                  const document_change& change, time_point now)
{
    actions next_actions;
    if (changes_.size() >= limits_.max_changes_in_flight)
    {
        change_response refusal;
        refusal.request_id = request_id;
        refusal.verdict = change_verdict::not_written;
        next_actions.emplace_back(std::move(refusal));
        return next_actions;
    }
    const auto added = changes_.emplace(request_id, change_in_flight());
    if (!added.second)
        return next_actions;
    change_in_flight& pending_change = added.first->second;
    pending_change.request_id = request_id;
    pending_change.change = change;
    pending_change.write_deadline = now + limits_.write_timeout;
    pending_change.response_deadline = now + limits_.response_timeout;
    begin_stage(pending_change, change_stage::reading_document, next_actions);
    return next_actions;
}

document_editor::actions
document_editor::commit_completed(const std::string& request_id,
                                  const result<commit_receipt>& store_result,
                                  time_point now)
{
    actions next_actions;
    const auto position = changes_.find(request_id);
    if (position == changes_.end() || !position->second.write)
        return next_actions;
    change_in_flight& pending_change = position->second;
    proceed(pending_change,
            pending_change.write->commit_completed(store_result, now), now,
            next_actions);
    erase_if_done(request_id);
    return next_actions;
}

document_editor::actions
document_editor::read_completed(const std::string& request_id,
                                const result<table_row>& store_result,
                                time_point now)
{
    actions next_actions;
    const auto position = changes_.find(request_id);
    if (position == changes_.end())
        return next_actions;
    change_in_flight& pending_change = position->second;
    if (pending_change.stage == change_stage::writing)
    {
        proceed(pending_change,
                pending_change.write->read_completed(store_result, now), now,
                next_actions);
    }
    else if (store_result)
    {
        process_row(pending_change, store_result.value(), now, next_actions);
    }
    else if (store_result.error() == platform_error::not_found)
    {
        process_row(pending_change, table_row(), now, next_actions);
    }
    else if (now >= pending_change.write_deadline)
    {
        respond(pending_change, change_verdict::not_written, next_actions);
    }
    else
    {
        pending_change.wake = now + read_retry_backoff;
    }
    erase_if_done(request_id);
    return next_actions;
}

document_editor::actions document_editor::host_revision_reported(
    const std::string& host, document_version revision, time_point now)
{
    actions next_actions;
    std::vector<std::string> updated_changes;
    for (std::pair<const std::string, change_in_flight>& item : changes_)
    {
        change_in_flight& pending_change = item.second;
        if (pending_change.stage != change_stage::confirming ||
            pending_change.version > revision)
            continue;
        pending_change.confirmed.insert(host);
        confirm(pending_change, now, next_actions);
        updated_changes.push_back(item.first);
    }
    for (const std::string& request_id : updated_changes)
        erase_if_done(request_id);
    return next_actions;
}

document_editor::actions document_editor::tick(time_point now)
{
    actions next_actions;
    std::vector<std::string> updated_changes;
    for (std::pair<const std::string, change_in_flight>& item : changes_)
    {
        change_in_flight& pending_change = item.second;
        if (pending_change.response_deadline <= now &&
            !pending_change.is_answered)
            handle_deadline(pending_change, next_actions);
        if (!pending_change.is_answered ||
            pending_change.stage == change_stage::writing)
            handle_wake(pending_change, now, next_actions);
        updated_changes.push_back(item.first);
    }
    for (const std::string& request_id : updated_changes)
        erase_if_done(request_id);
    return next_actions;
}

time_point document_editor::next_wake() const
{
    time_point wake = time_point::max();
    for (const std::pair<const std::string, change_in_flight>& item : changes_)
    {
        const change_in_flight& pending_change = item.second;
        if (!pending_change.is_answered)
            wake = std::min(
                {wake, pending_change.response_deadline, pending_change.wake});
        if (pending_change.stage == change_stage::writing)
            wake = std::min(wake, pending_change.write->next_wake());
    }
    return wake;
}

std::size_t document_editor::changes_in_flight() const
{
    return changes_.size();
}

void document_editor::begin_stage(change_in_flight& pending_change,
                                  change_stage stage, actions& next_actions)
{
    const document_change& change = pending_change.change;
    pending_change.stage = stage;
    pending_change.wake = time_point::max();
    std::string key = document_key(change.service);
    if (stage == change_stage::reading_change)
        key = document_change_key(change.service, change.change_id);
    if (stage == change_stage::reading_index)
        key = document_index_key;
    next_actions.emplace_back(
        editor_step{pending_change.request_id, read_step{key}});
}

void document_editor::process_row(change_in_flight& pending_change,
                                  const table_row& row, time_point now,
                                  actions& next_actions)
{
    switch (pending_change.stage)
    {
    case change_stage::reading_document:
        process_document_row(pending_change, row, next_actions);
        return;
    case change_stage::reading_change:
        process_change_row(pending_change, row, now, next_actions);
        return;
    case change_stage::reading_index:
        pending_change.index_row = row;
        pending_change.index_row.key = document_index_key;
        begin_write(pending_change, now, next_actions);
        return;
    case change_stage::writing:
    case change_stage::confirming:
        return;
    }
}

void document_editor::process_document_row(change_in_flight& pending_change,
                                           const table_row& row,
                                           actions& next_actions)
{
    pending_change.document_row = row;
    pending_change.document_row.key =
        document_key(pending_change.change.service);
    pending_change.current = document_record();
    pending_change.current.service = pending_change.change.service;
    const std::string payload = row_stamp::parse(row.value).payload;
    if (!payload.empty())
    {
        const result<document_record> record = document_record::parse(payload);
        if (!record)
        {
            next_actions.emplace_back(
                document_event{event_number::document_unreadable,
                               pending_change.change.service, 0, row.key});
            respond(pending_change, change_verdict::not_written, next_actions);
            return;
        }
        pending_change.current = record.value();
    }
    // The change is read after the document. Otherwise a commit of this
    // change between the two reads would be reported as a conflict.
    begin_stage(pending_change, change_stage::reading_change, next_actions);
}

void document_editor::process_change_row(change_in_flight& pending_change,
                                         const table_row& row, time_point now,
                                         actions& next_actions)
{
    const result<document_record> previous_record =
        document_record::parse(row_stamp::parse(row.value).payload);
    if (row.version != 0)
    {
        const bool is_same = previous_record && previous_record.value().text ==
                                                    pending_change.change.text;
        if (!is_same)
        {
            respond(pending_change, change_verdict::change_id_reused,
                    next_actions);
            return;
        }
        pending_change.version = previous_record.value().version;
        begin_confirming(pending_change, now, next_actions);
        return;
    }
    if (pending_change.current.version !=
        pending_change.change.expected_version)
    {
        pending_change.version = pending_change.current.version;
        next_actions.emplace_back(document_event{
            event_number::document_conflict, pending_change.change.service,
            pending_change.current.version, pending_change.change.author});
        respond(pending_change, change_verdict::conflict, next_actions);
        return;
    }
    begin_stage(pending_change, change_stage::reading_index, next_actions);
}

void document_editor::begin_write(change_in_flight& pending_change,
                                  time_point now, actions& next_actions)
{
    const document_change& change = pending_change.change;
    document_index index;
    const std::string payload =
        row_stamp::parse(pending_change.index_row.value).payload;
    const result<document_index> parsed = document_index::parse(payload);
    if (parsed)
        index = parsed.value();
    if (!parsed && pending_change.index_row.version != 0)
    {
        next_actions.emplace_back(
            document_event{event_number::document_unreadable, change.service, 0,
                           document_index_key});
        respond(pending_change, change_verdict::not_written, next_actions);
        return;
    }
    ++index.revision;
    index.versions[change.service] = index.revision;
    pending_change.version = index.revision;

    document_record record;
    record.service = change.service;
    record.version = index.revision;
    record.change_id = change.change_id;
    record.author = change.author;
    record.text = change.text;

    write_plan plan;
    const std::string id = process_ + "." + std::to_string(++last_write_);
    const std::string change_key =
        document_change_key(change.service, change.change_id);
    plan.transaction.write_id = id;
    plan.transaction.conditions = {
        unchanged_condition(pending_change.document_row),
        unchanged_condition(pending_change.index_row),
        {change_key, std::nullopt}};
    plan.transaction.writes = {
        {pending_change.document_row.key,
         row_stamp::successor(pending_change.document_row.value, id,
                              record.row_text())},
        {document_index_key,
         row_stamp::successor(pending_change.index_row.value, id,
                              index.row_text())},
        {change_key, row_stamp::successor("", id, record.row_text())}};
    plan.marker_key = pending_change.document_row.key;
    plan.marker_id = id;
    plan.marker_previous = pending_change.document_row.value;
    plan.tombstone_id = "tombstone:" + id;
    plan.abandon_at = pending_change.write_deadline;
    pending_change.stage = change_stage::writing;
    pending_change.write.emplace(std::move(plan));
    proceed(pending_change, pending_change.write->begin(now), now,
            next_actions);
}

void document_editor::proceed(change_in_flight& pending_change,
                              std::optional<store_step> step, time_point now,
                              actions& next_actions)
{
    if (step)
    {
        next_actions.emplace_back(
            editor_step{pending_change.request_id, std::move(*step)});
        return;
    }
    const write_state state = pending_change.write->state();
    if (state == write_state::unsettled)
        return;
    pending_change.write.reset();
    if (state == write_state::committed)
    {
        begin_confirming(pending_change, now, next_actions);
        return;
    }
    const bool should_retry =
        state == write_state::conflicted && now < pending_change.write_deadline;
    pending_change.stage = change_stage::reading_document;
    if (should_retry)
        begin_stage(pending_change, change_stage::reading_document,
                    next_actions);
    else
        respond(pending_change, change_verdict::not_written, next_actions);
}

void document_editor::begin_confirming(change_in_flight& pending_change,
                                       time_point now, actions& next_actions)
{
    next_actions.emplace_back(document_event{
        event_number::document_committed, pending_change.change.service,
        pending_change.version, pending_change.change.author});
    pending_change.stage = change_stage::confirming;
    pending_change.wake = now;
    handle_wake(pending_change, now, next_actions);
    confirm(pending_change, now, next_actions);
}

void document_editor::confirm(change_in_flight& pending_change, time_point,
                              actions& next_actions)
{
    if (pending_change.is_answered || !missing_regions(pending_change).empty())
        return;
    next_actions.emplace_back(document_event{
        event_number::document_accepted, pending_change.change.service,
        pending_change.version, pending_change.change.author});
    respond(pending_change, change_verdict::accepted, next_actions);
}

void document_editor::handle_deadline(change_in_flight& pending_change,
                                      actions& next_actions)
{
    if (pending_change.stage == change_stage::confirming)
    {
        std::string regions;
        for (const std::string& region : missing_regions(pending_change))
            regions += (regions.empty() ? "" : ",") + region;
        next_actions.emplace_back(document_event{
            event_number::document_not_confirmed, pending_change.change.service,
            pending_change.version, regions});
        respond(pending_change, change_verdict::committed, next_actions);
        return;
    }
    const bool may_be_written = pending_change.stage == change_stage::writing;
    respond(pending_change,
            may_be_written ? change_verdict::unknown
                           : change_verdict::not_written,
            next_actions);
}

void document_editor::handle_wake(change_in_flight& pending_change,
                                  time_point now, actions& next_actions)
{
    if (pending_change.stage == change_stage::writing)
    {
        proceed(pending_change, pending_change.write->tick(now), now,
                next_actions);
        return;
    }
    if (now < pending_change.wake)
        return;
    if (pending_change.stage != change_stage::confirming)
    {
        begin_stage(pending_change, pending_change.stage, next_actions);
        return;
    }
    for (const fleet_host& host : hosts_)
    {
        if (pending_change.confirmed.count(host.host) == 0)
            next_actions.emplace_back(query_host_revision{host.host});
    }
    pending_change.wake = now + limits_.revision_poll_interval;
}

std::vector<std::string>
document_editor::missing_regions(const change_in_flight& pending_change) const
{
    struct region_count
    {
        std::size_t listed = 0;
        std::size_t confirmed = 0;
    };
    std::map<std::string, region_count> regions;
    for (const fleet_host& host : hosts_)
    {
        region_count& count = regions[host.region];
        ++count.listed;
        count.confirmed += pending_change.confirmed.count(host.host);
    }
    std::vector<std::string> missing;
    for (const std::pair<const std::string, region_count>& region : regions)
    {
        if (region.second.confirmed * 2 <= region.second.listed)
            missing.push_back(region.first);
    }
    return missing;
}

void document_editor::respond(change_in_flight& pending_change,
                              change_verdict verdict, actions& next_actions)
{
    if (pending_change.is_answered)
        return;
    pending_change.is_answered = true;
    change_response response;
    response.request_id = pending_change.request_id;
    response.verdict = verdict;
    response.version = pending_change.version;
    if (verdict == change_verdict::conflict)
        response.current = pending_change.current;
    if (verdict == change_verdict::committed)
        response.missing_regions = missing_regions(pending_change);
    next_actions.emplace_back(std::move(response));
}

void document_editor::erase_if_done(const std::string& request_id)
{
    const auto position = changes_.find(request_id);
    if (position != changes_.end() && position->second.is_answered &&
        !position->second.write)
        changes_.erase(position);
}

} // namespace hibiscusferry
