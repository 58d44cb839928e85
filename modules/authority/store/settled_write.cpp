#include "authority/store/settled_write.hpp"

#include <algorithm>
#include <cassert>
#include <nlohmann/json.hpp>

namespace hibiscusferry
{

namespace
{

std::string write_id_of(const std::string& value)
{
    const nlohmann::json fields = nlohmann::json::parse(value, nullptr, false);
    if (!fields.is_object())
        return {};
    const auto field = fields.find("write_id");
    if (field == fields.end() || !field->is_string())
        return {};
    return field->get<std::string>();
}

} // namespace

settled_write::settled_write(table_transaction transaction, std::string key,
                             std::chrono::milliseconds retry_period)
    : transaction_(std::move(transaction))
    , key_(std::move(key))
    , retry_period_(retry_period)
{
}

std::optional<table_transaction> settled_write::due(time_point now)
{
    if (state_ != write_progress::pending || in_flight_)
        return std::nullopt;
    if (first_sent_ && now < next_send_)
        return std::nullopt;
    if (!first_sent_)
        first_sent_ = now;
    in_flight_ = true;
    return transaction_;
}

write_progress settled_write::finish(const result<commit_receipt>& response,
                                     time_point now)
{
    if (state_ != write_progress::pending)
        return state_;
    in_flight_ = false;
    if (!response)
    {
        // Even if this attempt was rejected cleanly, an earlier copy may still
        // be in transit.
        next_send_ = now + retry_period_;
        return state_;
    }
    if (response.value().committed)
    {
        state_ = write_progress::committed;
        version_ = response.value().version;
        return state_;
    }
    settle_conflict(response.value());
    return state_;
}

void settled_write::settle_conflict(const commit_receipt& receipt)
{
    state_ = write_progress::rejected;
    const auto row = std::find_if(
        receipt.conflicts.begin(), receipt.conflicts.end(),
        [this](const table_row& candidate) { return candidate.key == key_; });
    if (row == receipt.conflicts.end())
        return;
    if (write_id_of(row->value) == transaction_.write_id)
    {
        state_ = write_progress::committed;
        version_ = row->version;
        return;
    }
    conflict_ = *row;
}

write_progress settled_write::state() const
{
    return state_;
}

const std::string& settled_write::write_id() const
{
    return transaction_.write_id;
}

time_point settled_write::first_sent() const
{
    assert(first_sent_);
    return *first_sent_;
}

row_version settled_write::version() const
{
    return version_;
}

const std::optional<table_row>& settled_write::conflict() const
{
    return conflict_;
}

} // namespace hibiscusferry
