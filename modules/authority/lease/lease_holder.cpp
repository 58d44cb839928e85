#include "authority/lease/lease_holder.hpp"

#include <algorithm>

namespace hibiscusferry
{

namespace
{

/** The numbers available to each era of the store. */
constexpr unsigned fencing_number_bits = 32;

/** A store that has never been restored may count its eras from 0 or from 1. */
constexpr std::uint64_t max_initial_era = 1;

} // namespace

lease_holder::lease_holder(const std::string& region,
                           const std::string& service, process_identity self,
                           const lease_settings& settings,
                           identifier_source& identifiers)
    : region_(region)
    , service_(service)
    , self_(std::move(self))
    , settings_(settings)
    , identifiers_(identifiers)
{
}

void lease_holder::replace(regional_leases regions)
{
    regions_ = std::move(regions);
}

// ========================================================================
// Events

void lease_holder::add_region(const std::string& region)
{
    if (regions_)
        regions_->add_region(region);
}

void lease_holder::set_live_hosts(const std::vector<std::string>& hosts)
{
    const std::uint64_t lease = stable_hash(key());
    const std::uint64_t own_weight =
        rendezvous_weight(lease, stable_hash(self_.host));
    rank_ = std::numeric_limits<std::size_t>::max();
    if (std::find(hosts.begin(), hosts.end(), self_.host) == hosts.end())
        return;

    rank_ = 0;
    for (const std::string& host : hosts)
    {
        const std::uint64_t weight =
            rendezvous_weight(lease, stable_hash(host));
        if (weight > own_weight || (weight == own_weight && host > self_.host))
            ++rank_;
    }
}

lease_actions lease_holder::store_era_seen(std::uint64_t era, time_point now)
{
    lease_actions actions;
    if (era <= era_)
        return actions;
    if (is_holder_)
        actions.change = lease_change::lost;
    enter_era(era, now);
    return actions;
}

void lease_holder::enter_era(std::uint64_t era, time_point now)
{
    const bool is_restored = era > max_initial_era || (has_row_ && era > era_);
    era_ = era;
    if (is_restored)
        era_entered_at_ = now;
    is_holder_ = false;
    has_row_ = false;
    next_read_ = now;
    if (regions_)
        regions_->forget_rows();
}

lease_actions lease_holder::tick(time_point now)
{
    lease_actions actions;
    if (write_)
    {
        actions.commit = write_->due(now);
        return actions;
    }
    if (is_holder_)
    {
        if (retired_ || now >= next_renewal_)
            return renew(now);
        return actions;
    }
    if (can_acquire(now))
        return acquire(now);
    if (is_candidate() && !is_reading_ && now >= next_read_)
    {
        is_reading_ = true;
        actions.read = true;
    }
    return actions;
}

lease_actions lease_holder::row_read(const result<table_row>& row,
                                     time_point now)
{
    is_reading_ = false;
    next_read_ = now + settings_.watch_period;
    if (is_holder_ || write_)
        return tick(now);

    if (!row)
    {
        if (row.error() == platform_error::not_found)
            observe({}, 0, now);
        return tick(now);
    }
    // Sent before the era of the store changed.
    if (row.value().era < era_)
        return tick(now);
    if (row.value().era > era_)
        enter_era(row.value().era, now);
    const result<lease_record> record = lease_record::parse(row.value().value);
    if (record && (!has_row_ || row.value().version >= version_))
        observe(record.value(), row.value().version, now);
    return tick(now);
}

lease_actions
lease_holder::rows_read(const result<std::vector<table_row>>& rows,
                        time_point now)
{
    if (!rows)
        return row_read(rows.error(), now);
    const std::string own_key = key();
    result<table_row> own_row = make_error_code(platform_error::not_found);
    std::uint64_t era = era_;
    for (const table_row& row : rows.value())
    {
        era = std::max(era, row.era);
        if (row.key == own_key)
            own_row = row;
    }
    const bool is_of_one_era =
        std::all_of(rows.value().begin(), rows.value().end(),
                    [era](const table_row& row) { return row.era == era; });
    if (!is_of_one_era)
        return row_read(make_error_code(platform_error::bad_response), now);
    if (!is_holder_ && !write_ && regions_)
    {
        if (era > era_)
            enter_era(era, now);
        // The term of a holder of a former version begins with its write.
        if (regions_->observe(rows.value()))
            unchanged_since_ = now;
    }
    return row_read(own_row, now);
}

lease_actions
lease_holder::commit_finished(const std::string& write_id,
                              const result<commit_receipt>& response,
                              time_point now)
{
    lease_actions actions;
    if (!write_ || write_->write_id() != write_id)
        return actions;
    const write_progress state = write_->finish(response, now);
    if (state == write_progress::pending)
        return actions;

    const bool was_holder = is_holder_;
    lease_change change = state == write_progress::committed
                              ? write_committed(now)
                              : write_rejected(now);
    write_.reset();
    // The fencing number was assigned for another era than the one in which the
    // lease was written, or the lease was lost together with its era.
    const std::uint64_t current_era = std::max(era_, response.value().era);
    if (current_era != write_era_)
    {
        enter_era(current_era, now);
        change = was_holder ? lease_change::lost : lease_change::none;
    }
    actions = tick(now);
    actions.change = change;
    return actions;
}

lease_actions lease_holder::release(time_point now)
{
    retired_ = true;
    return tick(now);
}

lease_actions lease_holder::release_announced(time_point now)
{
    next_read_ = now;
    return tick(now);
}

lease_actions lease_holder::fencing_number_seen(std::uint64_t fencing_number)
{
    lease_actions actions;
    if (is_holder_ && fencing_number > record_.fencing_number)
    {
        is_holder_ = false;
        has_row_ = false;
        actions.change = lease_change::lost;
    }
    return actions;
}

// ========================================================================
// State

bool lease_holder::may_act(time_point now) const
{
    return is_holder_ && !retired_ &&
           now < term_start_ + settings_.term - settings_.send_margin;
}

bool lease_holder::is_holder() const
{
    return is_holder_;
}

bool lease_holder::is_settled() const
{
    return !write_ && !(is_holder_ && retired_);
}

bool lease_holder::acquired_after_release() const
{
    return followed_release_;
}

const process_identity& lease_holder::former_holder() const
{
    return former_holder_;
}

std::uint64_t lease_holder::fencing_number() const
{
    return record_.fencing_number;
}

bool lease_holder::is_first_holder() const
{
    const std::uint64_t first_number = (era_ << fencing_number_bits) + 1;
    return !era_entered_at_ && record_.fencing_number == first_number;
}

row_version lease_holder::fence_version() const
{
    return fence_version_;
}

const process_identity& lease_holder::observed_holder() const
{
    const lease_record* const regional = regional_record();
    const bool is_newer = regional != nullptr &&
                          regional->fencing_number > record_.fencing_number;
    return is_newer ? regional->holder : record_.holder;
}

std::vector<row_condition> lease_holder::replacement_conditions() const
{
    std::vector<row_condition> conditions{
        {fence_key(region_, service_), fence_version_}};
    if (regions_)
        conditions.push_back(regions_->replacement_condition());
    return conditions;
}

std::size_t lease_holder::rank() const
{
    return rank_;
}

std::string lease_holder::key() const
{
    return lease_key(region_, service_);
}

// ========================================================================
// Private

lease_actions lease_holder::acquire(time_point now)
{
    lease_record record;
    record.holder = self_;
    std::uint64_t last_number = record_.fencing_number;
    if (regions_)
        last_number = std::max(last_number, regions_->fencing_number());
    const std::uint64_t first_number = (era_ << fencing_number_bits) + 1;
    record.fencing_number = std::max(last_number + 1, first_number);
    record.term = settings_.term;
    return submit(record, true, now);
}

lease_actions lease_holder::renew(time_point now)
{
    lease_record record = record_;
    record.term = settings_.term;
    if (retired_)
        record.holder = {};
    return submit(record, false, now);
}

lease_actions lease_holder::submit(lease_record record, bool new_holder,
                                   time_point now)
{
    record.write_id = identifiers_.next();
    pending_record_ = record;
    write_era_ = era_;
    is_acquiring_ = new_holder;

    table_transaction transaction;
    transaction.write_id = record.write_id;
    row_condition unchanged{key(), std::nullopt};
    if (version_ != 0)
        unchanged.version = version_;
    transaction.conditions.push_back(unchanged);
    transaction.writes.push_back({key(), record.text()});
    if (new_holder)
    {
        transaction.writes.push_back(
            {fence_key(region_, service_), record.text()});
    }
    if (regions_)
        regions_->append_to(transaction, record, new_holder);

    write_.emplace(transaction, key(), settings_.retry_period);
    lease_actions actions;
    actions.commit = write_->due(now);
    return actions;
}

lease_change lease_holder::write_committed(time_point now)
{
    if (is_acquiring_)
    {
        followed_release_ = (version_ == 0 || record_.is_released()) &&
                            regional_record() == nullptr;
        former_holder_ = observed_holder();
        fence_version_ = write_->version();
        is_holder_ = true;
    }
    if (regions_)
        regions_->transaction_committed(write_->version());
    observe(pending_record_, write_->version(), now);
    if (pending_record_.is_released())
    {
        const bool was_holder = is_holder_;
        is_holder_ = false;
        return was_holder ? lease_change::released : lease_change::none;
    }
    term_start_ = write_->first_sent();
    next_renewal_ = term_start_ + settings_.renewal_period;
    return is_acquiring_ ? lease_change::acquired : lease_change::none;
}

lease_change lease_holder::write_rejected(time_point now)
{
    const bool was_holder = is_holder_;
    is_holder_ = false;
    has_row_ = false;
    next_read_ = now;
    const std::optional<table_row>& row = write_->conflict();
    // Where other leases are replaced, their rows are read again as well.
    if (row && !regions_)
    {
        const result<lease_record> record = lease_record::parse(row->value);
        if (record)
            observe(record.value(), row->version, now);
    }
    return was_holder ? lease_change::lost : lease_change::none;
}

void lease_holder::observe(const lease_record& record, row_version version,
                           time_point now)
{
    if (has_row_ && version == version_)
        return;
    has_row_ = true;
    record_ = record;
    version_ = version;
    unchanged_since_ = now;
}

const lease_record* lease_holder::regional_record() const
{
    return regions_ ? regions_->held_record() : nullptr;
}

bool lease_holder::is_candidate() const
{
    return !retired_ && rank_ < settings_.candidates;
}

bool lease_holder::can_acquire(time_point now) const
{
    if (!is_candidate() || !has_row_)
        return false;
    const std::chrono::nanoseconds max_term =
        settings_.term * (100 + settings_.clock_drift_percent) / 100;
    if (era_entered_at_ && now < *era_entered_at_ + max_term)
        return false;
    std::chrono::milliseconds held_term{0};
    if (version_ != 0 && !record_.is_released())
        held_term = record_.term;
    if (const lease_record* const regional = regional_record())
        held_term = std::max(held_term, regional->term);
    const std::chrono::nanoseconds wait =
        settings_.rank_delay * rank_ +
        held_term * (100 + settings_.clock_drift_percent) / 100;
    return now >= unchanged_since_ + wait;
}

} // namespace hibiscusferry
