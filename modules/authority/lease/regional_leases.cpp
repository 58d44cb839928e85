#include "authority/lease/regional_leases.hpp"

#include <algorithm>

namespace hibiscusferry
{

namespace
{

/** The region of a lease of this service; none for any other row. */
std::optional<std::string> region_of(const std::string& key,
                                     const std::string& service)
{
    const std::size_t begin = key.find('/') + 1;
    const std::size_t end = key.rfind('/');
    if (begin == 0 || end < begin)
        return std::nullopt;
    const std::string region = key.substr(begin, end - begin);
    if (key != lease_key(region, service))
        return std::nullopt;
    return region;
}

/** The closed form of a record. */
lease_record close(lease_record record)
{
    // A former version adds the term to a time, which must not overflow.
    constexpr std::chrono::hours ten_years{10 * 365 * 24};
    record.term = ten_years;
    record.is_closed = true;
    return record;
}

} // namespace

regional_leases::regional_leases(std::string service)
    : service_(std::move(service))
{
}

void regional_leases::add_region(const std::string& region)
{
    rows_.try_emplace(region);
}

bool regional_leases::observe(const std::vector<table_row>& rows)
{
    std::map<std::string, regional_row> observed;
    for (const auto& [region, row] : rows_)
        observed.try_emplace(region);
    for (const table_row& row : rows)
    {
        const std::optional<std::string> region = region_of(row.key, service_);
        if (!region)
            continue;
        // No host can hold a row that cannot be parsed. It is written anew.
        const result<lease_record> record = lease_record::parse(row.value);
        observed[*region] = {record ? record.value() : lease_record{},
                             row.version};
    }
    bool has_changed = false;
    for (const auto& [region, row] : observed)
    {
        const std::optional<row_version> former = rows_[region].version;
        if (!row.record.is_closed && row.version != former)
            has_changed = true;
    }
    rows_ = std::move(observed);
    return has_changed;
}

void regional_leases::forget_rows()
{
    for (auto& [region, row] : rows_)
        row = {};
}

std::uint64_t regional_leases::fencing_number() const
{
    std::uint64_t number = 0;
    for (const auto& [region, row] : rows_)
        number = std::max(number, row.record.fencing_number);
    return number;
}

const lease_record* regional_leases::held_record() const
{
    const lease_record* held = nullptr;
    for (const auto& [region, row] : rows_)
    {
        const lease_record& record = row.record;
        const bool is_held = !record.is_closed && !record.is_released();
        if (is_held &&
            (held == nullptr || record.fencing_number > held->fencing_number))
            held = &record;
    }
    return held;
}

std::string regional_leases::choose_open_region() const
{
    const auto open = std::find_if(rows_.begin(), rows_.end(),
                                   [](const auto& entry) {
                                       return entry.second.version &&
                                              !entry.second.record.is_closed;
                                   });
    if (open != rows_.end())
        return open->first;
    return rows_.empty() ? std::string() : rows_.begin()->first;
}

void regional_leases::append_to(table_transaction& transaction,
                                const lease_record& record, bool is_acquisition)
{
    if (is_acquisition)
        open_region_ = choose_open_region();
    pending_records_.clear();
    is_pending_acquisition_ = is_acquisition;
    for (const auto& [region, row] : rows_)
    {
        const bool is_open = region == open_region_;
        const bool is_due = is_acquisition || is_open || !row.record.is_closed;
        // A former version acquires a released lease, whatever its term.
        const bool would_stay_open = !is_open && record.is_released();
        if (!is_due || would_stay_open)
            continue;
        const lease_record written = is_open ? record : close(record);
        pending_records_[region] = written;
        const std::string key = lease_key(region, service_);
        transaction.conditions.push_back({key, row.version});
        transaction.writes.push_back({key, written.text()});
        // A replaced holder's writes are conditional on the row of its fence.
        if (is_acquisition || !is_open)
            transaction.writes.push_back(
                {fence_key(region, service_), written.text()});
    }
}

void regional_leases::transaction_committed(row_version version)
{
    for (const auto& [region, record] : pending_records_)
        rows_[region] = {record, version};
    pending_records_.clear();
    if (is_pending_acquisition_)
        open_fence_version_ = version;
}

row_condition regional_leases::replacement_condition() const
{
    return {fence_key(open_region_, service_), open_fence_version_};
}

} // namespace hibiscusferry
