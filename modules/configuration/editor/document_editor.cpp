#include "configuration/editor/document_editor.hpp"

#include <algorithm>
#include <utility>

namespace hibiscusferry
{

namespace
{

/** Wait before a failed read is repeated. */
constexpr std::chrono::milliseconds editor_read_wait{200};

row_condition unchanged(const table_row& row)
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
    actions wanted;
    if (changes_.size() >= limits_.max_changes_in_flight)
    {
        change_response refusal;
        refusal.request_id = request_id;
        refusal.verdict = change_verdict::not_written;
        wanted.emplace_back(std::move(refusal));
        return wanted;
    }
    const auto added = changes_.emplace(request_id, open_change());
    if (!added.second)
        return wanted;
    open_change& subject = added.first->second;
    subject.request_id = request_id;
    subject.change = change;
    subject.write_until = now + limits_.write_time;
    subject.answer_at = now + limits_.answer_time;
    begin_stage(subject, change_stage::reading_document, wanted);
    return wanted;
}

document_editor::actions
document_editor::commit_completed(const std::string& request_id,
                                  const result<commit_receipt>& answer_found,
                                  time_point now)
{
    actions wanted;
    const auto found = changes_.find(request_id);
    if (found == changes_.end() || !found->second.write)
        return wanted;
    open_change& subject = found->second;
    proceed(subject, subject.write->commit_completed(answer_found, now), now,
            wanted);
    erase_if_done(request_id);
    return wanted;
}

document_editor::actions
document_editor::read_completed(const std::string& request_id,
                                const result<table_row>& answer_found,
                                time_point now)
{
    actions wanted;
    const auto found = changes_.find(request_id);
    if (found == changes_.end())
        return wanted;
    open_change& subject = found->second;
    if (subject.stage == change_stage::writing)
    {
        proceed(subject, subject.write->read_completed(answer_found, now), now,
                wanted);
    }
    else if (answer_found)
    {
        take_row(subject, answer_found.value(), now, wanted);
    }
    else if (answer_found.error() == platform_error::not_found)
    {
        take_row(subject, table_row(), now, wanted);
    }
    else if (now >= subject.write_until)
    {
        answer(subject, change_verdict::not_written, wanted);
    }
    else
    {
        subject.wake = now + editor_read_wait;
    }
    erase_if_done(request_id);
    return wanted;
}

document_editor::actions document_editor::host_revision_reported(
    const std::string& host, document_version revision, time_point now)
{
    actions wanted;
    std::vector<std::string> touched;
    for (std::pair<const std::string, open_change>& known : changes_)
    {
        open_change& subject = known.second;
        if (subject.stage != change_stage::confirming ||
            subject.version > revision)
            continue;
        subject.confirmed.insert(host);
        confirm(subject, now, wanted);
        touched.push_back(known.first);
    }
    for (const std::string& request_id : touched)
        erase_if_done(request_id);
    return wanted;
}

document_editor::actions document_editor::tick(time_point now)
{
    actions wanted;
    std::vector<std::string> touched;
    for (std::pair<const std::string, open_change>& known : changes_)
    {
        open_change& subject = known.second;
        if (subject.answer_at <= now && !subject.is_answered)
            pass_deadline(subject, wanted);
        if (!subject.is_answered || subject.stage == change_stage::writing)
            pass_wake(subject, now, wanted);
        touched.push_back(known.first);
    }
    for (const std::string& request_id : touched)
        erase_if_done(request_id);
    return wanted;
}

time_point document_editor::next_wake() const
{
    time_point wake = time_point::max();
    for (const std::pair<const std::string, open_change>& known : changes_)
    {
        const open_change& subject = known.second;
        if (!subject.is_answered)
            wake = std::min({wake, subject.answer_at, subject.wake});
        if (subject.stage == change_stage::writing)
            wake = std::min(wake, subject.write->next_wake());
    }
    return wake;
}

std::size_t document_editor::changes_in_flight() const
{
    return changes_.size();
}

void document_editor::begin_stage(open_change& subject, change_stage stage,
                                  actions& wanted)
{
    const document_change& change = subject.change;
    subject.stage = stage;
    subject.wake = time_point::max();
    std::string key = document_key(change.service);
    if (stage == change_stage::reading_change)
        key = document_change_key(change.service, change.change_id);
    if (stage == change_stage::reading_index)
        key = document_index_key;
    wanted.emplace_back(editor_step{subject.request_id, read_step{key}});
}

void document_editor::take_row(open_change& subject, const table_row& row,
                               time_point now, actions& wanted)
{
    switch (subject.stage)
    {
    case change_stage::reading_document:
        take_document(subject, row, wanted);
        return;
    case change_stage::reading_change:
        take_change(subject, row, now, wanted);
        return;
    case change_stage::reading_index:
        subject.index_row = row;
        subject.index_row.key = document_index_key;
        begin_write(subject, now, wanted);
        return;
    case change_stage::writing:
    case change_stage::confirming:
        return;
    }
}

void document_editor::take_document(open_change& subject, const table_row& row,
                                    actions& wanted)
{
    subject.document_row = row;
    subject.document_row.key = document_key(subject.change.service);
    subject.current = document_record();
    subject.current.service = subject.change.service;
    const std::string payload = row_stamp::parse(row.value).payload;
    if (!payload.empty())
    {
        const result<document_record> record = document_record::parse(payload);
        if (!record)
        {
            wanted.emplace_back(
                document_event{event_number::document_unreadable,
                               subject.change.service, 0, row.key});
            answer(subject, change_verdict::not_written, wanted);
            return;
        }
        subject.current = record.value();
    }
    // The change is looked up after the document, so that a change made in
    // between is not taken for a rival's.
    begin_stage(subject, change_stage::reading_change, wanted);
}

void document_editor::take_change(open_change& subject, const table_row& row,
                                  time_point now, actions& wanted)
{
    const result<document_record> made =
        document_record::parse(row_stamp::parse(row.value).payload);
    if (row.version != 0)
    {
        const bool is_same = made && made.value().text == subject.change.text;
        if (!is_same)
        {
            answer(subject, change_verdict::change_id_reused, wanted);
            return;
        }
        subject.version = made.value().version;
        begin_confirming(subject, now, wanted);
        return;
    }
    if (subject.current.version != subject.change.expected_version)
    {
        subject.version = subject.current.version;
        wanted.emplace_back(document_event{
            event_number::document_conflict, subject.change.service,
            subject.current.version, subject.change.author});
        answer(subject, change_verdict::conflict, wanted);
        return;
    }
    begin_stage(subject, change_stage::reading_index, wanted);
}

void document_editor::begin_write(open_change& subject, time_point now,
                                  actions& wanted)
{
    const document_change& change = subject.change;
    document_index index;
    const std::string payload =
        row_stamp::parse(subject.index_row.value).payload;
    const result<document_index> found = document_index::parse(payload);
    if (found)
        index = found.value();
    if (!found && subject.index_row.version != 0)
    {
        wanted.emplace_back(document_event{event_number::document_unreadable,
                                           change.service, 0,
                                           document_index_key});
        answer(subject, change_verdict::not_written, wanted);
        return;
    }
    ++index.revision;
    index.versions[change.service] = index.revision;
    subject.version = index.revision;

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
    plan.transaction.conditions = {unchanged(subject.document_row),
                                   unchanged(subject.index_row),
                                   {change_key, std::nullopt}};
    plan.transaction.writes = {
        {subject.document_row.key,
         row_stamp::successor(subject.document_row.value, id,
                              record.row_text())},
        {document_index_key,
         row_stamp::successor(subject.index_row.value, id, index.row_text())},
        {change_key, row_stamp::successor("", id, record.row_text())}};
    plan.marker_key = subject.document_row.key;
    plan.marker_id = id;
    plan.marker_previous = subject.document_row.value;
    plan.tombstone_id = "tombstone:" + id;
    plan.abandon_at = subject.write_until;
    subject.stage = change_stage::writing;
    subject.write.emplace(std::move(plan));
    proceed(subject, subject.write->begin(now), now, wanted);
}

void document_editor::proceed(open_change& subject,
                              std::optional<store_step> step, time_point now,
                              actions& wanted)
{
    if (step)
    {
        wanted.emplace_back(editor_step{subject.request_id, std::move(*step)});
        return;
    }
    const write_state state = subject.write->state();
    if (state == write_state::unsettled)
        return;
    subject.write.reset();
    if (state == write_state::committed)
    {
        begin_confirming(subject, now, wanted);
        return;
    }
    const bool tries_again =
        state == write_state::conflicted && now < subject.write_until;
    subject.stage = change_stage::reading_document;
    if (tries_again)
        begin_stage(subject, change_stage::reading_document, wanted);
    else
        answer(subject, change_verdict::not_written, wanted);
}

void document_editor::begin_confirming(open_change& subject, time_point now,
                                       actions& wanted)
{
    wanted.emplace_back(document_event{event_number::document_committed,
                                       subject.change.service, subject.version,
                                       subject.change.author});
    subject.stage = change_stage::confirming;
    subject.wake = now;
    pass_wake(subject, now, wanted);
    confirm(subject, now, wanted);
}

void document_editor::confirm(open_change& subject, time_point, actions& wanted)
{
    if (subject.is_answered || !missing_regions(subject).empty())
        return;
    wanted.emplace_back(document_event{event_number::document_accepted,
                                       subject.change.service, subject.version,
                                       subject.change.author});
    answer(subject, change_verdict::accepted, wanted);
}

void document_editor::pass_deadline(open_change& subject, actions& wanted)
{
    if (subject.stage == change_stage::confirming)
    {
        std::string regions;
        for (const std::string& region : missing_regions(subject))
            regions += (regions.empty() ? "" : ",") + region;
        wanted.emplace_back(document_event{event_number::document_not_confirmed,
                                           subject.change.service,
                                           subject.version, regions});
        answer(subject, change_verdict::committed, wanted);
        return;
    }
    const bool may_be_written = subject.stage == change_stage::writing;
    answer(subject,
           may_be_written ? change_verdict::unknown
                          : change_verdict::not_written,
           wanted);
}

void document_editor::pass_wake(open_change& subject, time_point now,
                                actions& wanted)
{
    if (subject.stage == change_stage::writing)
    {
        proceed(subject, subject.write->tick(now), now, wanted);
        return;
    }
    if (now < subject.wake)
        return;
    if (subject.stage != change_stage::confirming)
    {
        begin_stage(subject, subject.stage, wanted);
        return;
    }
    for (const fleet_host& host : hosts_)
    {
        if (subject.confirmed.count(host.host) == 0)
            wanted.emplace_back(query_host_revision{host.host});
    }
    subject.wake = now + limits_.ask_interval;
}

std::vector<std::string>
document_editor::missing_regions(const open_change& subject) const
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
        count.confirmed += subject.confirmed.count(host.host);
    }
    std::vector<std::string> missing;
    for (const std::pair<const std::string, region_count>& region : regions)
    {
        if (region.second.confirmed * 2 <= region.second.listed)
            missing.push_back(region.first);
    }
    return missing;
}

void document_editor::answer(open_change& subject, change_verdict verdict,
                             actions& wanted)
{
    if (subject.is_answered)
        return;
    subject.is_answered = true;
    change_response told;
    told.request_id = subject.request_id;
    told.verdict = verdict;
    told.version = subject.version;
    if (verdict == change_verdict::conflict)
        told.current = subject.current;
    if (verdict == change_verdict::committed)
        told.missing_regions = missing_regions(subject);
    wanted.emplace_back(std::move(told));
}

void document_editor::erase_if_done(const std::string& request_id)
{
    const auto found = changes_.find(request_id);
    if (found != changes_.end() && found->second.is_answered &&
        !found->second.write)
        changes_.erase(found);
}

} // namespace hibiscusferry
