#include "gateway/state/state_follower.hpp"

#include "gateway/process/listener_limits.hpp"
#include <algorithm>

namespace hibiscusferry
{

namespace
{

/** Percentage of the reads that the table service takes from all hosts, to
   which reads of the target rows are limited while requests wait for them. */
constexpr double awaited_read_percent = 50;
/** The host table rarely changes, and no guarantee depends on how fast a change
    is seen. */
constexpr std::chrono::milliseconds host_table_wait{3000};
constexpr std::chrono::milliseconds max_host_table_age{8000};
constexpr std::chrono::milliseconds host_table_response_delay{700};

constexpr std::chrono::milliseconds store_call_timeout{1500};
constexpr std::chrono::milliseconds retry_interval{150};
/** Interval between checks whether this host has to read a table. */
constexpr std::chrono::milliseconds due_check_period{50};

constexpr std::chrono::milliseconds maintenance_period{100};
/** Interval at which a relay compares the targets with the store. */
constexpr std::chrono::seconds verification_interval{10};
/** Minimum interval between writes of a missing own row. A shorter one would
    write the row again before the previous write could be read back. */
constexpr std::chrono::milliseconds own_row_retry_interval{3000};

const std::string host_table = "hosts";

std::string table_of(const std::string& key)
{
    return key.substr(0, key.find('/'));
}

std::string id_of(const std::string& key)
{
    return key.substr(key.find('/') + 1);
}

/** Returns a function that hashes the parsed row of a target. All rows that
    cannot be parsed have the same hash: what changes in them is of no use to
    anyone. */
table_replica::content_hash
content_hash_of_targets(const fleet_records& records)
{
    return [&records](const table_row& row)
    {
        const result<target_record> record = records.read_target(row);
        return record ? hash_of(record.value()) : stable_hash("");
    };
}

} // namespace

state_follower::state_follower(process_core& core, fleet_state& fleet,
                               const source_set& sources)
    : core_(core)
    , fleet_(fleet)
    , sources_(sources)
    , monitor_(core, fleet)
    , reader_(core, sources.feed,
              [this](const unanswered_read& read) { record_silence(read); })
    , fetcher_(
          core,
          [this](std::vector<table_update> updates, const update_source& source)
          {
              for (table_update& update : updates)
                  apply_relay_update(std::move(update), source);
          })
    , replicas_(content_hash_of_targets(sources.records))
{
}

result<void> state_follower::start()
{
    result<std::unique_ptr<http_server>> listening = core_.listen(
        "peers", {fleet_.settings().address, fleet_.settings().peer_port},
        peer_limits(),
        [this](http_exchange& exchange, boost::asio::yield_context yield)
        { serve_peer(exchange, yield); });
    if (!listening)
        return listening.error();
    peer_server_ = std::move(listening.value());

    monitor_.start();
    write_own_row();
    for (const fleet_table table : all_fleet_tables)
        start_task(core_.context(),
                   [this, table](boost::asio::yield_context yield)
                   { follow(table, yield); });
    core_.repeat(maintenance_period,
                 [this]
                 {
                     monitor_.tick();
                     fleet_.apply(fleet_.catalogue().tick(core_.now()),
                                  "outage_grace");
                     maintain_own_row();
                     log_missing_configuration();
                 });
    return outcome::success();
}

void state_follower::drain(std::function<void()> finished)
{
    is_serving_ = false;
    write_own_row();
    finished();
}

void state_follower::stop()
{
    is_stopping_ = true;
    peer_server_->close();
}

host_directory& state_follower::directory()
{
    return directory_;
}

store_monitor& state_follower::monitor()
{
    return monitor_;
}

const fleet_replicas& state_follower::replicas() const
{
    return replicas_;
}

void state_follower::set_relay(bool is_relay)
{
    is_relay_ = is_relay;
}

// ========================================================================
// Reading the table service

std::string state_follower::store_table(fleet_table table) const
{
    const std::array<std::string, fleet_table_count> tables{
        table_of(sources_.records.configuration_key()),
        sources_.records.target_table(), host_table};
    return tables[static_cast<std::size_t>(table)];
}

propagation_schedule state_follower::schedule(fleet_table table) const
{
    const host_settings& settings = fleet_.settings();
    const std::array<propagation_schedule, fleet_table_count> schedules{
        propagation_schedule::divide(settings.max_configuration_delay,
                                     propagation_schedule::watched_table),
        propagation_schedule::divide(settings.target_drain_time,
                                     propagation_schedule::polled_table),
        propagation_schedule::of(host_table_wait, max_host_table_age,
                                 host_table_response_delay)};
    return schedules[static_cast<std::size_t>(table)];
}

std::chrono::nanoseconds
state_follower::time_to_store_read(fleet_table table) const
{
    const time_point now = core_.now();
    const bool is_target_table = table == fleet_table::targets;
    const bool is_awaited =
        is_target_table && fleet_.target_list().is_awaited();
    const bool is_old = replicas_.age(table, now) > schedule(table).max_age();
    const bool is_due = is_relay_ || is_awaited ||
                        (is_old && !is_receiving_configuration(table));
    if (!is_due)
        return due_check_period;
    if (!is_target_table)
        return std::chrono::nanoseconds(0);
    const time_point next_read_at =
        targets_read_at_ + (is_awaited ? min_target_read_interval()
                                       : schedule(table).relay_interval());
    // A request may begin to wait in the meantime.
    return std::min<std::chrono::nanoseconds>(next_read_at - now,
                                              due_check_period);
}

bool state_follower::is_receiving_configuration(fleet_table table) const
{
    return table == fleet_table::configuration &&
           fetcher_.is_receiving(schedule(table).response_delay());
}

void state_follower::follow(fleet_table table, boost::asio::yield_context yield)
{
    bool was_wait_ended = false;
    while (!is_stopping_)
    {
        const std::chrono::nanoseconds time_to_read = time_to_store_read(table);
        if (time_to_read > std::chrono::nanoseconds(0))
        {
            sleep_for(core_.context(), time_to_read, yield);
            continue;
        }
        if (table == fleet_table::targets)
            targets_read_at_ = core_.now();
        // It is not known when a change has ended the wait, so a second read
        // shows until when there was no other one.
        const result<bool> read_result = read(
            table,
            was_wait_ended ? std::chrono::milliseconds(0) : max_wait(table),
            yield);
        if (!read_result)
        {
            monitor_.record_failure(read_result.error());
            // Reads for waiting requests stay bounded, also while the table
            // service refuses them.
            const bool is_bounded = fleet_.target_list().is_awaited();
            if (table == fleet_table::targets && !is_bounded)
                targets_read_at_ = {};
            sleep_for(core_.context(), retry_interval, yield);
            continue;
        }
        was_wait_ended = read_result.value();
        monitor_.record_success();
    }
}

std::chrono::milliseconds state_follower::min_target_read_interval() const
{
    const double reads_per_second =
        std::max(1.0, fleet_.settings().table_reads_per_second *
                          awaited_read_percent / 100);
    const std::chrono::duration<double> interval(
        static_cast<double>(fleet_.live_hosts()) / reads_per_second);
    return std::max(due_check_period,
                    std::chrono::ceil<std::chrono::milliseconds>(interval));
}

std::chrono::milliseconds state_follower::max_wait(fleet_table table) const
{
    if (table == fleet_table::targets)
        return std::chrono::milliseconds(0);
    return schedule(table).max_wait(replicas_.age(table, core_.now()));
}

void state_follower::record_silence(const unanswered_read& read)
{
    core_.metrics()
        .counter_of("hibiscusferry_transfers_given_up_total", "from=\"store\"")
        .add();
    core_.journal().record(
        event_number::read_unanswered,
        {{"table", read.table},
         {"elapsed_ms", std::to_string(read.elapsed.count())},
         {"received_bytes", std::to_string(read.received_bytes)},
         {"loop_delay_ms", std::to_string(read.loop_delay.count())},
         {"reads", std::to_string(read.reads)}});
    // The reads of all tables become silent together, and count once.
    if (read.table == store_table(fleet_table::configuration))
        monitor_.record_failure(std::make_error_code(std::errc::timed_out));
}

void state_follower::log_missing_configuration()
{
    const time_point now = core_.now();
    const configuration_lag& lag = fleet_.newer_configuration();
    core_.metrics()
        .gauge_of("hibiscusferry_configuration_missing_seconds")
        .set(std::chrono::duration<double>(lag.duration(now)).count());
    const bool is_late = lag.duration(now) >
                         schedule(fleet_table::configuration).response_delay();
    if (!is_late || lag.missing_since() == logged_missing_since_)
        return;
    logged_missing_since_ = lag.missing_since();
    core_.journal().record(
        event_number::configuration_missing,
        {{"missing_ms", std::to_string(lag.duration(now).count())},
         {"version",
          fleet_.routes()
              ? std::to_string(fleet_.routes()->configuration().version)
              : "none"},
         {"fetching", fetcher_.is_fetching() ? "yes" : "no"},
         {"received_bytes", std::to_string(fetcher_.received_bytes())},
         {"age_ms",
          std::to_string(
              replicas_.age(fleet_table::configuration, now).count())}});
}

result<bool> state_follower::read(fleet_table table,
                                  std::chrono::milliseconds wait,
                                  boost::asio::yield_context yield)
{
    const store_position known_position = replicas_.replica(table).as_of();
    bool& needs_snapshot = needs_snapshot_[static_cast<std::size_t>(table)];
    table_query query{store_table(table), known_position, wait};
    // Hosts compare their replicas with each other only, so that an error of a
    // relay would be copied and never found.
    const bool is_verification_due =
        table == fleet_table::targets && is_relay_ &&
        core_.now() - targets_verified_at_ >= verification_interval;
    if (known_position.version == 0 || needs_snapshot || is_verification_due)
        query.after.reset();
    result<table_reading> reading =
        reader_.read(query, schedule(table).response_delay(), yield);
    if (!reading)
        return reading.error();
    table_changes& changes = reading.value().changes;
    const bool is_snapshot = reading.value().is_snapshot;
    const time_point asked_at = reading.value().asked_at;
    // A response that was delayed beyond the start of a new era.
    if (changes.era < replicas_.replica(table).as_of().era)
        return make_error_code(platform_error::history_expired);
    if (table == fleet_table::configuration)
    {
        for (table_row& row : changes.rows)
            row.value = sources_.records.without_keys(row.value);
    }
    const std::size_t unreadable_rows = changes.unreadable;
    log_unreadable_rows(table, unreadable_rows);
    const bool has_changed = !changes.rows.empty() ||
                             !changes.deleted.empty() || changes.unreadable > 0;
    const std::chrono::milliseconds waited = reading.value().wait;
    const bool was_wait_ended =
        !is_snapshot && has_changed && waited > std::chrono::milliseconds(0);
    // A response without a change was not sent before the end of the wait. One
    // that arrives earlier all the same shows only when it was asked for.
    const bool has_waited =
        !is_snapshot && !has_changed && core_.now() >= asked_at + waited;
    const time_point as_of = has_waited ? asked_at + waited : asked_at;
    const bool is_applied = apply_update(
        {table, is_snapshot, std::move(changes), 0,
         std::chrono::ceil<std::chrono::milliseconds>(core_.now() - as_of)},
        {"store", asked_at, reading.value().transfer_duration});
    if (is_applied && is_snapshot)
        needs_snapshot = false;
    if (is_applied && is_snapshot && table == fleet_table::targets)
        targets_verified_at_ = core_.now();
    const bool is_row_unreadable =
        unreadable_rows > 0 && table == fleet_table::configuration;
    if (is_applied && !needs_snapshot && !is_row_unreadable)
        confirm(table, as_of);
    const bool is_config_missing =
        table == fleet_table::configuration && !fleet_.routes();
    if (is_snapshot && is_config_missing)
        sleep_for(core_.context(), retry_interval, yield);
    return was_wait_ended;
}

void state_follower::log_unreadable_rows(fleet_table table, std::size_t rows)
{
    std::size_t& most = unreadable_rows_[static_cast<std::size_t>(table)];
    if (rows <= most)
        return;
    most = rows;
    core_.journal().record(event_number::table_rows_unreadable,
                           {{"table", std::string(to_text(table))},
                            {"rows", std::to_string(rows)}});
}

// ========================================================================
// Applying updates

bool state_follower::apply_update(table_update update,
                                  const update_source& source)
{
    using apply_function =
        void (state_follower::*)(table_changes&, const update_source&);
    constexpr std::array<apply_function, fleet_table_count> apply_functions{
        &state_follower::apply_configuration, &state_follower::apply_targets,
        &state_follower::apply_hosts};
    table_replica& replica = replicas_.replica(update.table);
    // A snapshot from a relay that is behind would undo later changes.
    if (update.is_snapshot && update.changes.position() < replica.as_of())
        return false;
    const bool is_restored = update.is_snapshot &&
                             replica.as_of().version > 0 &&
                             update.changes.era > replica.as_of().era;
    if (is_restored)
        core_.journal().record(
            event_number::store_restored,
            {{"table", std::string(to_text(update.table))},
             {"era", std::to_string(update.changes.era)},
             {"version", std::to_string(update.changes.version)},
             {"version_before", std::to_string(replica.as_of().version)},
             {"source", source.name}});
    if (is_restored && update.table == fleet_table::targets)
        fleet_.mark_target_list_restored();
    if (update.is_snapshot)
        core_.journal().record(
            event_number::snapshot_taken,
            {{"table", std::string(to_text(update.table))},
             {"rows", std::to_string(update.changes.rows.size())},
             {"version", std::to_string(update.changes.version)},
             {"era", std::to_string(update.changes.era)},
             {"age_ms", std::to_string(update.age.count())},
             {"source", source.name}});
    table_changes applied_changes =
        update.is_snapshot ? replica.replace(std::move(update.changes))
                           : replica.apply(std::move(update.changes));
    (this->*apply_functions[static_cast<std::size_t>(update.table)])(
        applied_changes, source);
    if (update.table == fleet_table::configuration)
        fleet_.newer_configuration().record_own(replica.as_of());
    if (update.table == fleet_table::targets)
        fleet_.mark_target_list_received();
    return true;
}

void state_follower::confirm(fleet_table table, time_point as_of)
{
    replicas_.mark_current(table, as_of);
    // Keys may have been taken away in a version that this host cannot read.
    if (table == fleet_table::configuration && is_configuration_readable_)
        fleet_.confirm_configuration(as_of);
    if (table == fleet_table::targets)
        fleet_.confirm_target_list(as_of);
}

void state_follower::apply_configuration(table_changes& changes,
                                         const update_source& source)
{
    const std::string key = sources_.records.configuration_key();
    const time_point now = core_.now();
    for (table_row& row : changes.rows)
    {
        if (row.key != key)
            continue;
        const std::size_t row_bytes = row.value.size();
        const time_point read_at = core_.now();
        result<fleet_configuration> configuration =
            sources_.records.read_configuration(std::move(row.value),
                                                configuration_text_);
        is_configuration_readable_ = configuration.has_value();
        if (configuration)
        {
            const std::chrono::milliseconds parse_duration =
                std::chrono::ceil<std::chrono::milliseconds>(core_.now() -
                                                             read_at);
            fleet_.update_configuration(
                std::move(configuration.value()), source.name,
                {is_relay_, replicas_.age(fleet_table::configuration, now),
                 std::chrono::ceil<std::chrono::milliseconds>(now -
                                                              source.asked_at),
                 monitor_.consecutive_failures(), row_bytes, parse_duration});
            log_large_configuration(
                row_bytes, source.transfer_duration,
                std::chrono::ceil<std::chrono::milliseconds>(core_.now() -
                                                             read_at));
            continue;
        }
        core_.journal().record(event_number::configuration_unreadable,
                               {{"row_version", std::to_string(row.version)},
                                {"problem", configuration.error().message()},
                                {"source", source.name}});
    }
}

void state_follower::log_large_configuration(
    std::size_t bytes, std::chrono::milliseconds transfer_duration,
    std::chrono::milliseconds processing_duration)
{
    const std::chrono::milliseconds limit =
        schedule(fleet_table::configuration).max_transfer_time();
    if (transfer_duration + processing_duration <= limit)
        return;
    core_.metrics()
        .counter_of("hibiscusferry_configurations_too_large_total")
        .add();
    core_.journal().record(
        event_number::configuration_too_large,
        {{"bytes", std::to_string(bytes)},
         {"transfer_ms", std::to_string(transfer_duration.count())},
         {"processing_ms", std::to_string(processing_duration.count())},
         {"limit_ms", std::to_string(limit.count())}});
}

void state_follower::apply_targets(table_changes& changes,
                                   const update_source& source)
{
    const time_point now = core_.now();
    for (const table_row& row : changes.rows)
    {
        const result<target_record> record = read_target(row);
        if (record)
        {
            fleet_.apply(fleet_.catalogue().put(record.value()), source.name);
            continue;
        }
        core_.journal().record(event_number::target_row_unreadable,
                               {{"row", row.key},
                                {"version", std::to_string(row.version)},
                                {"problem", record.error().message()}});
        fleet_.apply(fleet_.catalogue().mark_unreadable(id_of(row.key)),
                     source.name);
    }
    for (const std::string& key : changes.deleted)
        fleet_.apply(fleet_.catalogue().remove(id_of(key), now), source.name);
}

result<target_record> state_follower::read_target(const table_row& row) const
{
    const result<target_record> record = sources_.records.read_target(row);
    if (record && is_listener_of_host(record.value().endpoint))
        return std::make_error_code(std::errc::address_in_use);
    return record;
}

bool state_follower::is_listener_of_host(const http_endpoint& endpoint) const
{
    const host_settings& settings = fleet_.settings();
    // Hosts have different addresses and the same ports.
    const bool has_listener_port = endpoint.port == settings.callers.port ||
                                   endpoint.port == settings.readiness.port ||
                                   endpoint.port == settings.peer_port;
    return has_listener_port &&
           (endpoint.address == settings.address ||
            endpoint.address == settings.callers.address ||
            directory_.addresses().count(endpoint.address) > 0);
}

void state_follower::apply_targets_at_hosts(const update_source& source)
{
    const target_catalogue& catalogue = fleet_.catalogue();
    table_changes changes;
    for (const auto& [key, row] :
         replicas_.replica(fleet_table::targets).rows())
    {
        const result<target_record> record = sources_.records.read_target(row);
        const bool is_used = catalogue.targets().count(id_of(key)) > 0;
        if (record && is_used == is_listener_of_host(record.value().endpoint))
            changes.rows.push_back(row);
    }
    apply_targets(changes, source);
}

void state_follower::apply_hosts(table_changes&, const update_source& source)
{
    const std::set<std::string> former_addresses = directory_.addresses();
    directory_.set_rows(replicas_.replica(fleet_table::hosts).rows(),
                        core_.now());
    fleet_.set_live_hosts(
        std::max<std::size_t>(directory_.serving_host_count(), 1));
    if (directory_.addresses() != former_addresses)
        apply_targets_at_hosts(source);
}

// ========================================================================
// Updates from relays

bool state_follower::apply_positions(const host_record& relay,
                                     const replica_positions& positions,
                                     time_point as_of)
{
    bool is_behind = false;
    bool is_fresh = true;
    std::chrono::milliseconds min_age = positions.front().age;
    for (const fleet_table table : all_fleet_tables)
    {
        const std::size_t index = static_cast<std::size_t>(table);
        const replica_position& position = positions[index];
        min_age = std::min(min_age, position.age);
        if (position.age > schedule(table).max_age())
            is_fresh = false;
        table_replica& replica = replicas_.replica(table);
        const bool is_replica_ahead = position.as_of < replica.as_of();
        if (is_replica_ahead || position.as_of.version == 0)
            continue;
        const bool is_equal = position.digest == replica.digest() &&
                              position.as_of.era == replica.as_of().era;
        if (!is_equal)
        {
            is_behind = is_behind || core_.now() >= next_fetch_at_[index];
            if (table == fleet_table::configuration &&
                replica.as_of() < position.as_of)
                fleet_.newer_configuration().record_newer(position.as_of,
                                                          as_of);
            continue;
        }
        replica.advance(position.as_of);
        if (table == fleet_table::configuration)
            fleet_.newer_configuration().record_own(replica.as_of());
        needs_snapshot_[index] = false;
        confirm(table, as_of - position.age);
    }
    monitor_.record_relay_update(relay.host, as_of - min_age);
    const std::chrono::milliseconds max_silence =
        schedule(fleet_table::configuration).response_delay();
    // Two transfers of the same configuration would slow down each other.
    if (is_behind && !reader_.is_receiving(
                         store_table(fleet_table::configuration), max_silence))
        fetcher_.fetch(relay, wanted_positions(), max_silence);
    return is_fresh;
}

bool state_follower::is_outdated() const
{
    const time_point now = core_.now();
    return std::any_of(
        all_fleet_tables.begin(), all_fleet_tables.end(),
        [this, now](fleet_table table)
        { return replicas_.age(table, now) > schedule(table).max_age(); });
}

known_positions state_follower::wanted_positions() const
{
    known_positions known{};
    for (const fleet_table table : all_fleet_tables)
    {
        const std::size_t index = static_cast<std::size_t>(table);
        if (!needs_snapshot_[index])
            known[index] = replicas_.replica(table).as_of();
    }
    return known;
}

void state_follower::apply_relay_update(table_update update,
                                        const update_source& source)
{
    const fleet_table table = update.table;
    const std::size_t index = static_cast<std::size_t>(table);
    if (!replicas_.restore_rows(update))
    {
        needs_snapshot_[index] = true;
        return;
    }
    const store_position position = update.changes.position();
    const std::uint64_t digest = update.digest;
    const std::chrono::milliseconds age = update.age;
    const bool is_snapshot = update.is_snapshot;
    apply_update(std::move(update), source);
    const table_replica& replica = replicas_.replica(table);
    const bool is_ahead = position < replica.as_of();
    if (is_ahead)
        return;
    const bool is_equal = replica.digest() == digest;
    needs_snapshot_[index] = !is_equal;
    if (is_equal)
        confirm(table, source.asked_at - age);
    else if (is_snapshot)
        next_fetch_at_[index] = core_.now() + schedule(table).max_age();
}

void state_follower::serve_peer(http_exchange& exchange,
                                boost::asio::yield_context yield)
{
    http_response response;
    if (exchange.request().path() != update_fetcher::path)
    {
        const result<void> ignored =
            exchange.respond(json_response(404, "{}"), yield);
        static_cast<void>(ignored);
        return;
    }
    response.headers.set("Content-Type", "application/cbor");
    const known_positions known =
        update_fetcher::positions_of(exchange.request());
    response.body = encode_updates(
        update_fetcher::accepts_compressed_rows(exchange.request())
            ? replicas_.compressed_changes_since(known, core_.now())
            : replicas_.changes_since(known, core_.now()));
    const result<void> ignored = exchange.respond(response, yield);
    static_cast<void>(ignored);
}

// ========================================================================
// The row of this host

void state_follower::write_own_row()
{
    const host_settings& settings = fleet_.settings();
    const host_record own_record{
        settings.host,      settings.availability_zone, settings.address,
        settings.peer_port, settings.processor_cores,   is_serving_,
        settings.region};
    table_transaction transaction;
    transaction.writes.push_back(
        {host_table + "/" + settings.host, own_record.text()});
    own_row_written_at_ = core_.now();
    sources_.store.commit(transaction, store_call_timeout,
                          [this](const result<commit_receipt>& receipt)
                          {
                              if (!receipt)
                                  monitor_.record_failure(receipt.error());
                          });
}

void state_follower::maintain_own_row()
{
    const host_settings& settings = fleet_.settings();
    const host_record* const own_record = directory_.find(settings.host);
    const bool is_up_to_date = own_record != nullptr &&
                               own_record->is_serving == is_serving_ &&
                               own_record->region == settings.region &&
                               own_record->address == settings.address;
    const bool may_write =
        !own_row_written_at_ ||
        core_.now() - *own_row_written_at_ > own_row_retry_interval;
    const bool has_host_table =
        replicas_.replica(fleet_table::hosts).as_of().version > 0;
    if (!is_up_to_date && may_write && has_host_table && !is_stopping_)
        write_own_row();
}

void state_follower::remove_rows(const std::vector<table_row>& rows)
{
    if (rows.empty())
        return;
    table_transaction transaction;
    for (const table_row& row : rows)
    {
        transaction.conditions.push_back({row.key, row.version});
        transaction.writes.push_back({row.key, std::nullopt});
    }
    sources_.store.commit(
        transaction, store_call_timeout,
        [this, count = rows.size()](const result<commit_receipt>& receipt)
        {
            if (!receipt)
                monitor_.record_failure(receipt.error());
            else
                core_.journal().record(event_number::host_rows_removed,
                                       {{"rows", std::to_string(count)}});
        });
}

} // namespace hibiscusferry
