#include "gateway/state/state_follower.hpp"

#include <algorithm>

namespace hibiscusferry
{

namespace
{

/** Of the time within which a configuration has to be in force: how long a
    relay waits at the store for the next one, and how old other hosts' news
    may grow before they look for themselves. The rest is for a look that
    fails. */
constexpr int configuration_wait_percent = 40;
constexpr int configuration_age_percent = 60;
/** Of the time for which leaving targets serve on: between two looks at their
    rows, which change with every heartbeat, and how old news may grow. */
constexpr int targets_period_percent = 42;
constexpr int targets_age_percent = 58;
/** Hosts come and go seldom, and no promise depends on when that is seen. */
constexpr std::chrono::milliseconds hosts_wait{3000};
constexpr std::chrono::milliseconds oldest_hosts_news{8000};

/** Beyond a wait: the time for the answer itself. */
constexpr std::chrono::milliseconds store_answer_limit{700};
constexpr std::chrono::milliseconds snapshot_limit{1500};
constexpr std::chrono::milliseconds retry_pause{150};
/** Between two looks whether a table has to be read here. */
constexpr std::chrono::milliseconds due_period{50};

constexpr std::chrono::milliseconds pull_limit{500};
constexpr std::size_t pull_answer_bytes = 8U << 20;
constexpr std::chrono::milliseconds belief_tick{100};
/** An own row that is missing is written again, but not faster than news of
    it can come back. */
constexpr std::chrono::milliseconds own_row_period{3000};

const std::string roster_table = "hosts";
const std::string news_path = "/news";
constexpr std::array<const char*, fleet_table_count> known_parameters{
    "configuration", "targets", "hosts"};

std::string table_of(const std::string& key)
{
    return key.substr(0, key.find('/'));
}

std::string id_of(const std::string& key)
{
    return key.substr(key.find('/') + 1);
}

/** What the row of a target says; of one that cannot be read, its bytes. */
table_replica::meaning meaning_of_targets(const fleet_records& records)
{
    return [&records](const table_row& row)
    {
        const result<target_record> record = records.read_target(row);
        return record ? hash_of(record.value()) : stable_hash(row.value);
    };
}

} // namespace

state_follower::state_follower(process_core& core, fleet_state& fleet,
                               const sources& from)
    : core_(core)
    , fleet_(fleet)
    , from_(from)
    , link_(core, fleet)
    , replicas_(meaning_of_targets(from.records))
{
}

result<void> state_follower::start()
{
    result<std::unique_ptr<http_server>> listening = http_server::listen(
        core_.context(),
        {fleet_.settings().address, fleet_.settings().peer_port}, {},
        [this](http_exchange& exchange, boost::asio::yield_context yield)
        { serve_peer(exchange, yield); });
    if (!listening)
        return listening.error();
    peer_server_ = std::move(listening.value());

    write_own_row();
    for (const fleet_table table : all_fleet_tables)
        start_task(core_.context(),
                   [this, table](boost::asio::yield_context yield)
                   { follow(table, yield); });
    core_.repeat(belief_tick,
                 [this]
                 {
                     link_.tick();
                     fleet_.apply(fleet_.catalogue().tick(core_.now()),
                                  "outage_grace");
                     keep_own_row();
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

host_roster& state_follower::roster()
{
    return roster_;
}

store_link& state_follower::link()
{
    return link_;
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
        table_of(from_.records.configuration_key()),
        from_.records.target_table(), roster_table};
    return tables[static_cast<std::size_t>(table)];
}

std::chrono::milliseconds state_follower::oldest_news(fleet_table table) const
{
    const host_settings& settings = fleet_.settings();
    const std::array<std::chrono::milliseconds, fleet_table_count> ages{
        configuration_age_percent * settings.max_configuration_delay / 100,
        targets_age_percent * settings.target_drain_time / 100,
        oldest_hosts_news};
    return ages[static_cast<std::size_t>(table)];
}

bool state_follower::is_due_here(fleet_table table) const
{
    return is_relay_ || replicas_.age(table, core_.now()) > oldest_news(table);
}

void state_follower::follow(fleet_table table, boost::asio::yield_context yield)
{
    while (!is_stopping_)
    {
        if (!is_due_here(table))
        {
            sleep_for(core_.context(), due_period, yield);
            continue;
        }
        const result<void> done = read(table, yield);
        if (!done)
        {
            link_.failed(done.error());
            sleep_for(core_.context(), retry_pause, yield);
            continue;
        }
        link_.succeeded();
        if (table == fleet_table::targets)
            sleep_for(core_.context(),
                      targets_period_percent *
                          fleet_.settings().target_drain_time / 100,
                      yield);
    }
}

result<void> state_follower::read(fleet_table table,
                                  boost::asio::yield_context yield)
{
    const host_settings& settings = fleet_.settings();
    const std::array<std::chrono::milliseconds, fleet_table_count> waits{
        configuration_wait_percent * settings.max_configuration_delay / 100,
        std::chrono::milliseconds(0), hosts_wait};
    const std::chrono::milliseconds wait =
        waits[static_cast<std::size_t>(table)];
    const row_version known = replicas_.replica(table).as_of();
    bool is_whole = known == 0;
    result<table_changes> changes =
        is_whole
            ? from_.feed.snapshot(store_table(table), snapshot_limit, yield)
            : from_.feed.changes(store_table(table), known, wait,
                                 wait + store_answer_limit, yield);
    if (!changes && changes.error() == platform_error::history_gone)
    {
        is_whole = true;
        changes =
            from_.feed.snapshot(store_table(table), snapshot_limit, yield);
    }
    if (!changes)
        return changes.error();
    take({table, is_whole, std::move(changes.value())}, "store");
    const bool is_config_missing =
        table == fleet_table::configuration && !fleet_.routes();
    if (is_whole && is_config_missing)
        sleep_for(core_.context(), retry_pause, yield);
    return outcome::success();
}

// ========================================================================
// Taking news

void state_follower::take(const table_update& told, const std::string& source)
{
    using apply_function =
        void (state_follower::*)(const table_changes&, const std::string&);
    constexpr std::array<apply_function, fleet_table_count> functions{
        &state_follower::apply_configuration, &state_follower::apply_targets,
        &state_follower::apply_hosts};
    table_replica& replica = replicas_.replica(told.table);
    // A whole table of a relay that is behind would undo later changes.
    if (told.is_whole && told.changes.version < replica.as_of())
        return;
    if (told.is_whole)
        core_.journal().record(
            event_number::snapshot_taken,
            {{"table", std::string(to_text(told.table))},
             {"rows", std::to_string(told.changes.rows.size())},
             {"version", std::to_string(told.changes.version)},
             {"age_ms", std::to_string(told.age.count())},
             {"source", source}});
    const table_changes changed = told.is_whole ? replica.replace(told.changes)
                                                : replica.take(told.changes);
    (this->*functions[static_cast<std::size_t>(told.table)])(changed, source);
    replicas_.set_current(told.table, core_.now() - told.age);
    if (told.table == fleet_table::targets)
        fleet_.mark_target_list_received();
}

void state_follower::apply_configuration(const table_changes& changes,
                                         const std::string& source)
{
    const std::string key = from_.records.configuration_key();
    for (const table_row& row : changes.rows)
    {
        if (row.key != key)
            continue;
        result<fleet_configuration> configuration =
            from_.records.read_configuration(row.value);
        if (configuration)
        {
            fleet_.update_configuration(std::move(configuration.value()),
                                        source);
            continue;
        }
        core_.journal().record(event_number::configuration_unreadable,
                               {{"row_version", std::to_string(row.version)},
                                {"problem", configuration.error().message()},
                                {"source", source}});
    }
}

void state_follower::apply_targets(const table_changes& changes,
                                   const std::string& source)
{
    const time_point now = core_.now();
    for (const table_row& row : changes.rows)
    {
        const result<target_record> record = from_.records.read_target(row);
        if (record)
        {
            fleet_.apply(fleet_.catalogue().put(record.value()), source);
            continue;
        }
        core_.journal().record(event_number::target_row_unreadable,
                               {{"row", row.key},
                                {"version", std::to_string(row.version)},
                                {"problem", record.error().message()}});
        fleet_.apply(fleet_.catalogue().mark_unreadable(id_of(row.key), now),
                     source);
    }
    for (const std::string& key : changes.deleted)
        fleet_.apply(fleet_.catalogue().remove(id_of(key), now), source);
}

void state_follower::apply_hosts(const table_changes&, const std::string&)
{
    roster_.take(replicas_.replica(fleet_table::hosts).rows(), core_.now());
    fleet_.set_live_hosts(std::max<std::size_t>(roster_.serving_hosts(), 1));
}

// ========================================================================
// News from relays

bool state_follower::apply_positions(const roster_host& relay,
                                     const replica_positions& positions,
                                     time_point as_of)
{
    bool is_behind = false;
    bool is_fresh = true;
    std::chrono::milliseconds newest = positions.front().age;
    for (const fleet_table table : all_fleet_tables)
    {
        const replica_position& mark =
            positions[static_cast<std::size_t>(table)];
        newest = std::min(newest, mark.age);
        if (mark.as_of == 0 || mark.age > oldest_news(table))
        {
            is_fresh = false;
            continue;
        }
        table_replica& replica = replicas_.replica(table);
        const bool is_ahead = mark.as_of < replica.as_of();
        if (is_ahead)
            continue;
        if (mark.digest != replica.digest())
        {
            is_behind = true;
            continue;
        }
        replica.advance(mark.as_of);
        replicas_.set_current(table, as_of - mark.age);
    }
    link_.heard_by(relay.host, as_of - newest);
    if (is_behind && !is_pulling_)
        pull(relay);
    return is_fresh;
}

void state_follower::pull(const roster_host& relay)
{
    is_pulling_ = true;
    http_request request;
    request.target = news_path + "?";
    for (const fleet_table table : all_fleet_tables)
    {
        const std::size_t at = static_cast<std::size_t>(table);
        const row_version known =
            wants_whole_[at] ? 0 : replicas_.replica(table).as_of();
        request.target += std::string(known_parameters[at]) + "=" +
                          std::to_string(known) + "&";
    }
    const std::string source = "relay " + relay.host;
    http_call(core_.context(), core_.connections(), {relay.address, relay.port},
              request, pull_limit, pull_answer_bytes,
              [this, source](const result<http_response>& answer)
              {
                  is_pulling_ = false;
                  if (!answer || answer.value().status != 200)
                      return;
                  const result<std::vector<table_update>> updates =
                      decode_updates(answer.value().body);
                  if (!updates)
                  {
                      core_.journal().record(event_number::peer_news_unreadable,
                                             {{"source", source}});
                      return;
                  }
                  for (const table_update& told : updates.value())
                  {
                      take(told, source);
                      wants_whole_[static_cast<std::size_t>(told.table)] =
                          replicas_.replica(told.table).digest() != told.digest;
                  }
              });
}

void state_follower::serve_peer(http_exchange& exchange,
                                boost::asio::yield_context yield)
{
    http_response response;
    if (exchange.request().path() != news_path)
    {
        const result<void> ignored =
            exchange.respond(json_response(404, "{}"), yield);
        static_cast<void>(ignored);
        return;
    }
    std::array<row_version, fleet_table_count> known{};
    for (std::size_t at = 0; at < known.size(); ++at)
        known[at] = std::strtoull(
            exchange.request().query(known_parameters[at]).c_str(), nullptr,
            10);
    response.headers.set("Content-Type", "application/cbor");
    response.body = encode_updates(replicas_.since(known, core_.now()));
    const result<void> ignored = exchange.respond(response, yield);
    static_cast<void>(ignored);
}

// ========================================================================
// The row of this host

void state_follower::write_own_row()
{
    const host_settings& settings = fleet_.settings();
    const roster_host own{
        settings.host,      settings.availability_zone, settings.address,
        settings.peer_port, settings.processor_cores,   is_serving_};
    table_transaction transaction;
    transaction.writes.push_back(
        {roster_table + "/" + settings.host, own.text()});
    own_row_written_at_ = core_.now();
    from_.store.commit(transaction, snapshot_limit,
                       [this](const result<commit_receipt>& receipt)
                       {
                           if (!receipt)
                               link_.failed(receipt.error());
                       });
}

void state_follower::keep_own_row()
{
    const roster_host* const known = roster_.find(fleet_.settings().host);
    const bool is_right = known != nullptr &&
                          known->is_serving == is_serving_ &&
                          known->address == fleet_.settings().address;
    const bool may_write = !own_row_written_at_ ||
                           core_.now() - *own_row_written_at_ > own_row_period;
    const bool knows_hosts = replicas_.replica(fleet_table::hosts).as_of() > 0;
    if (!is_right && may_write && knows_hosts && !is_stopping_)
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
    from_.store.commit(
        transaction, snapshot_limit,
        [this, count = rows.size()](const result<commit_receipt>& receipt)
        {
            if (!receipt)
                link_.failed(receipt.error());
            else
                core_.journal().record(event_number::host_rows_removed,
                                       {{"rows", std::to_string(count)}});
        });
}

} // namespace hibiscusferry
