#include "gateway/state/state_follower.hpp"

#include <algorithm>

namespace hibiscusferry
{

namespace
{

/** A wait at the store ends this much before a configuration has to be in
    force, so that a connection that fell silent is found in time. */
constexpr std::chrono::milliseconds configuration_margin{500};
/** Beyond the wait: the time for the answer itself. */
constexpr std::chrono::milliseconds store_answer_limit{700};
constexpr std::chrono::milliseconds snapshot_limit{1500};
/** Part of the time for which leaving targets serve on that may pass between
    two looks at their rows; the rest covers a look that fails. */
constexpr int targets_period_percent = 42;
constexpr std::chrono::milliseconds retry_pause{150};
/** Between two writes of a host's own row, and reads of all. */
constexpr std::chrono::milliseconds least_roster_period{4000};
/** Added for each live host, so that the store's load does not grow with the
    number of hosts. */
constexpr std::chrono::milliseconds roster_period_for_host{150};
/** The first reads come sooner, as all hosts start together. */
constexpr std::chrono::milliseconds first_roster_period{600};
/** A host is gone when its row has not changed for so many half periods. */
constexpr int roster_half_periods_until_gone = 5;
constexpr std::size_t roster_limit = 5000;
/** A peer is asked when the store was silent for this long. */
constexpr std::chrono::milliseconds peers_after_silence{700};
constexpr std::chrono::milliseconds peer_period{500};
constexpr std::chrono::milliseconds peer_answer_limit{300};
/** News that are older are no help. */
constexpr std::chrono::milliseconds oldest_peer_news{2500};
constexpr std::size_t peer_answer_bytes = 4U << 20;
constexpr std::chrono::milliseconds catalogue_tick{200};

const std::string roster_table = "hosts";
const std::string peer_path = "/known-rows";

std::string table_of(const std::string& key)
{
    return key.substr(0, key.find('/'));
}

} // namespace

state_follower::state_follower(process_core& core, fleet_state& fleet,
                               const sources& from)
    : core_(core)
    , fleet_(fleet)
    , from_(from)
    , link_(core, fleet)
    , roster_(least_roster_period * roster_half_periods_until_gone / 2)
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

    start_task(core_.context(), [this](boost::asio::yield_context yield)
               { follow_configuration(yield); });
    start_task(core_.context(), [this](boost::asio::yield_context yield)
               { follow_targets(yield); });
    start_task(core_.context(), [this](boost::asio::yield_context yield)
               { follow_hosts(yield); });
    start_task(core_.context(),
               [this](boost::asio::yield_context yield) { ask_peers(yield); });
    core_.repeat(catalogue_tick,
                 [this] {
                     fleet_.apply(fleet_.catalogue().tick(core_.now()),
                                  "outage_grace");
                 });
    return outcome::success();
}

void state_follower::drain(std::function<void()> finished)
{
    announce_stop();
    finished();
}

void state_follower::stop()
{
    is_stopping_ = true;
    peer_server_->close();
}

store_link& state_follower::link()
{
    return link_;
}

std::vector<std::string> state_follower::live_host_names() const
{
    std::vector<std::string> names{fleet_.settings().host};
    for (const roster_host& host : roster_.live(core_.now()))
    {
        if (host.is_serving && host.host != names.front())
            names.push_back(host.host);
    }
    return names;
}

// ========================================================================
// Configuration

void state_follower::follow_configuration(boost::asio::yield_context yield)
{
    while (!is_stopping_)
    {
        const result<void> read = read_configuration(yield);
        if (read)
        {
            link_.succeeded();
            continue;
        }
        if (read.error() == platform_error::history_gone)
        {
            configuration_after_ = 0;
            continue;
        }
        link_.failed(read.error());
        sleep_for(core_.context(), retry_pause, yield);
    }
}

result<void>
state_follower::read_configuration(boost::asio::yield_context yield)
{
    const std::string key = from_.records.configuration_key();
    const bool is_snapshot = configuration_after_ == 0;
    const std::chrono::milliseconds wait =
        fleet_.settings().configuration_time - configuration_margin;
    const result<table_changes> changes =
        is_snapshot
            ? from_.feed.snapshot(table_of(key), snapshot_limit, yield)
            : from_.feed.changes(table_of(key), configuration_after_, wait,
                                 wait + store_answer_limit, yield);
    if (!changes)
        return changes.error();
    for (const table_row& row : changes.value().rows)
    {
        if (row.key == key)
            take_configuration_row(row, "store");
    }
    configuration_after_ =
        std::max(configuration_after_, changes.value().version);
    if (is_snapshot && !fleet_.routes())
        sleep_for(core_.context(), retry_pause, yield);
    return outcome::success();
}

void state_follower::take_configuration_row(const table_row& row,
                                            const std::string& source)
{
    if (row.version <= known_.configuration.version)
        return;
    result<fleet_configuration> configuration =
        from_.records.read_configuration(row.value);
    known_.configuration = row;
    if (!configuration)
    {
        core_.journal().record(event_number::configuration_unreadable,
                               {{"row_version", std::to_string(row.version)},
                                {"problem", configuration.error().message()},
                                {"source", source}});
        return;
    }
    fleet_.take_configuration(std::move(configuration.value()), source);
}

// ========================================================================
// Targets

void state_follower::follow_targets(boost::asio::yield_context yield)
{
    while (!is_stopping_)
    {
        const result<void> read = read_targets(yield);
        if (read)
        {
            link_.succeeded();
            targets_current_at_ = core_.now();
            sleep_for(core_.context(),
                      targets_period_percent * fleet_.settings().leave_time /
                          100,
                      yield);
            continue;
        }
        if (read.error() == platform_error::history_gone)
        {
            known_.targets_version = 0;
            continue;
        }
        link_.failed(read.error());
        sleep_for(core_.context(), retry_pause, yield);
    }
}

result<void> state_follower::read_targets(boost::asio::yield_context yield)
{
    const std::string table = from_.records.target_table();
    if (fleet_.knows_targets() && known_.targets_version > 0)
    {
        const result<table_changes> changes = from_.feed.changes(
            table, known_.targets_version, std::chrono::milliseconds(0),
            store_answer_limit, yield);
        if (!changes)
            return changes.error();
        take_target_changes(changes.value());
        return outcome::success();
    }

    const result<table_changes> all =
        from_.feed.snapshot(table, snapshot_limit, yield);
    if (!all)
        return all.error();
    known_.targets.clear();
    for (const table_row& row : all.value().rows)
        known_.targets[row.key] = row;
    known_.targets_version = all.value().version;
    take_target_snapshot("store");
    return outcome::success();
}

void state_follower::take_target_changes(const table_changes& changes)
{
    const time_point now = core_.now();
    for (const table_row& row : changes.rows)
    {
        known_.targets[row.key] = row;
        const result<target_record> record = from_.records.read_target(row);
        if (record)
        {
            fleet_.apply(fleet_.catalogue().put(record.value()), "store");
            continue;
        }
        core_.journal().record(event_number::target_row_unreadable,
                               {{"row", row.key},
                                {"version", std::to_string(row.version)},
                                {"problem", record.error().message()}});
        const std::string id = row.key.substr(row.key.find('/') + 1);
        fleet_.apply(fleet_.catalogue().spoil(id, now), "store");
    }
    for (const std::string& key : changes.deleted)
    {
        known_.targets.erase(key);
        const std::string id = key.substr(key.find('/') + 1);
        fleet_.apply(fleet_.catalogue().remove(id, now), "store");
    }
    known_.targets_version = std::max(known_.targets_version, changes.version);
}

void state_follower::take_target_snapshot(const std::string& source)
{
    std::vector<target_record> records;
    for (const auto& [key, row] : known_.targets)
    {
        const result<target_record> record = from_.records.read_target(row);
        if (record)
            records.push_back(record.value());
        else
            core_.journal().record(event_number::target_row_unreadable,
                                   {{"row", key},
                                    {"version", std::to_string(row.version)},
                                    {"problem", record.error().message()}});
    }
    core_.journal().record(event_number::snapshot_taken,
                           {{"rows", std::to_string(known_.targets.size())},
                            {"version", std::to_string(known_.targets_version)},
                            {"source", source}});
    fleet_.apply(fleet_.catalogue().replace_all(records, core_.now()), source);
    fleet_.set_knows_targets();
}

// ========================================================================
// Other hosts

void state_follower::follow_hosts(boost::asio::yield_context yield)
{
    constexpr int first_rounds = 4;
    for (int round = 0; !is_stopping_; ++round)
    {
        write_own_row();
        read_roster();
        const std::chrono::milliseconds period =
            std::max<std::chrono::milliseconds>(least_roster_period,
                                                roster_period_for_host *
                                                    fleet_.live_hosts());
        roster_.set_time_limit(period * roster_half_periods_until_gone / 2);
        sleep_for(core_.context(),
                  round < first_rounds ? first_roster_period : period, yield);
    }
}

void state_follower::write_own_row()
{
    const host_settings& settings = fleet_.settings();
    const roster_host own{settings.host, settings.address, settings.peer_port,
                          is_serving_};
    table_transaction transaction;
    transaction.writes.push_back(
        {roster_table + "/" + settings.host, own.text()});
    from_.store.commit(transaction, snapshot_limit,
                       [this](const result<commit_receipt>& receipt)
                       {
                           if (!receipt)
                               link_.failed(receipt.error());
                       });
}

void state_follower::read_roster()
{
    from_.store.scan(
        roster_table + "/", "", roster_limit, snapshot_limit,
        [this](const result<std::vector<table_row>>& rows)
        {
            if (!rows)
            {
                link_.failed(rows.error());
                return;
            }
            roster_.take(rows.value(), core_.now());
            fleet_.set_live_hosts(live_host_names().size());
            const std::vector<table_row> forgotten =
                roster_.forgotten(core_.now());
            if (forgotten.empty())
                return;
            table_transaction clean_up;
            for (const table_row& row : forgotten)
            {
                clean_up.conditions.push_back({row.key, row.version});
                clean_up.writes.push_back({row.key, std::nullopt});
            }
            from_.store.commit(clean_up, snapshot_limit,
                               [](const result<commit_receipt>&) {});
        });
}

void state_follower::announce_stop()
{
    is_serving_ = false;
    write_own_row();
}

// ========================================================================
// News from peers

void state_follower::serve_peer(http_exchange& exchange,
                                boost::asio::yield_context yield)
{
    if (exchange.request().path() != peer_path)
    {
        const result<void> ignored =
            exchange.respond(json_response(404, "{}"), yield);
        static_cast<void>(ignored);
        return;
    }
    const std::chrono::milliseconds age =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            core_.now() - targets_current_at_);
    http_response response;
    response.headers.set("Content-Type", "application/cbor");
    response.body = known_.encode(age);
    const result<void> ignored = exchange.respond(response, yield);
    static_cast<void>(ignored);
}

void state_follower::ask_peers(boost::asio::yield_context yield)
{
    std::size_t turn = stable_hash(core_.id());
    while (!is_stopping_)
    {
        sleep_for(core_.context(), peer_period, yield);
        if (link_.silence() < peers_after_silence)
            continue;
        const std::vector<roster_host> hosts = roster_.live(core_.now());
        if (hosts.empty())
            continue;
        const roster_host& peer = hosts[++turn % hosts.size()];
        if (peer.host == fleet_.settings().host)
            continue;
        http_request request;
        request.target = peer_path;
        const result<http_response> answer =
            http_call(core_.connections(), {peer.address, peer.port}, request,
                      peer_answer_limit, peer_answer_bytes, yield);
        if (!answer || answer.value().status != 200)
            continue;
        const result<peer_news> news = peer_news::decode(answer.value().body);
        if (news)
            take_peer_news(news.value(), peer.host);
    }
}

void state_follower::take_peer_news(const peer_news& news,
                                    const std::string& peer)
{
    if (news.age > oldest_peer_news)
        return;
    const known_rows& rows = news.rows;
    const bool has_configuration =
        rows.configuration.version > known_.configuration.version;
    const bool has_targets = rows.targets_version > known_.targets_version;
    if (has_configuration)
        take_configuration_row(rows.configuration, "peer " + peer);
    if (has_targets)
    {
        known_.targets = rows.targets;
        known_.targets_version = rows.targets_version;
        take_target_snapshot("peer " + peer);
    }
    if (has_configuration || has_targets)
        core_.journal().record(
            event_number::peer_state_taken,
            {{"peer", peer},
             {"age_ms", std::to_string(news.age.count())},
             {"targets_version", std::to_string(rows.targets_version)},
             {"configuration_version",
              std::to_string(rows.configuration.version)}});
}

} // namespace hibiscusferry
