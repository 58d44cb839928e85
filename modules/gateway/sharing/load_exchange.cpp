#include "gateway/sharing/load_exchange.hpp"

#include <array>

namespace hibiscusferry
{

namespace
{

/** Interval between the reports of a host. It grows with the number of hosts in
    the zone, so that the load of the relay stays constant, and is never less
    than the minimum, a fraction of the time needed to prefill a prompt. */
constexpr std::chrono::milliseconds report_period_per_host{2};
constexpr std::chrono::milliseconds min_report_period{25};
/** Interval between reports to the other zones. */
constexpr std::chrono::milliseconds zone_report_period{30};
/** Interval between questions of a host that is not a relay to other zones. */
constexpr std::chrono::milliseconds zone_question_period{200};
/** Received loads expire if they are not updated within this time. */
constexpr std::chrono::milliseconds load_lifetime{600};
/** Responses that take longer are ignored because their loads are outdated. */
constexpr std::chrono::milliseconds max_response_age{1000};
/** Of the reports in several parts, one in this many is answered with
    observations of engines. */
constexpr std::uint64_t report_parts_interval = 8;
/** Interval between reports that contain observations of engines. */
constexpr std::chrono::milliseconds observation_period{400};
/** Targets with less load than this are left out of reports. */
constexpr double min_reported_requests = 0.5;
constexpr double min_reported_exchanges = 0.2;

} // namespace

load_exchange::load_exchange(process_core& core, fleet_state& fleet,
                             state_follower& follower,
                             datagram_channel& datagrams)
    : core_(core)
    , fleet_(fleet)
    , follower_(follower)
    , datagrams_(datagrams)
    , selector_(fleet.settings().host, relay_selector_settings{})
    , aggregator_(load_lifetime)
{
}

result<void> load_exchange::start()
{
    datagrams_.add_receiver([this](std::string_view bytes,
                                   const boost::asio::ip::udp::endpoint& sender)
                            { return receive(bytes, sender); });
    start_task(core_.context(), [this](boost::asio::yield_context yield)
               { report_loop(yield); });
    return outcome::success();
}

void load_exchange::stop()
{
    is_stopping_ = true;
}

std::vector<std::string> load_exchange::relays()
{
    std::vector<std::string> names;
    names.push_back(current_relay_.empty() ? fleet_.settings().host
                                           : current_relay_);
    for (const auto& [zone, remote] : zones_)
    {
        if (!remote.relay.empty())
            names.push_back(remote.relay);
    }
    return names;
}

std::size_t load_exchange::reporting_hosts() const
{
    return reporting_hosts_;
}

// ========================================================================
// Reporting

std::chrono::milliseconds load_exchange::report_period() const
{
    const std::size_t hosts =
        follower_.directory()
            .relay_candidates(fleet_.settings().availability_zone)
            .size();
    return std::max<std::chrono::milliseconds>(
        min_report_period,
        report_period_per_host * static_cast<std::int64_t>(hosts));
}

void load_exchange::report_loop(boost::asio::yield_context yield)
{
    while (!is_stopping_)
    {
        update_candidates();
        report();
        sleep_for(core_.context(), report_period(), yield);
    }
}

void load_exchange::update_candidates()
{
    const std::uint64_t digest =
        follower_.replicas().replica(fleet_table::hosts).digest();
    if (digest == host_table_digest_)
        return;
    host_table_digest_ = digest;
    const time_point now = core_.now();
    const host_directory& directory = follower_.directory();
    const std::string& own_zone = fleet_.settings().availability_zone;
    selector_.set_candidates(directory.relay_candidates(own_zone), now);
    const std::set<std::string> present_zones = directory.zones();
    for (auto zone = zones_.begin(); zone != zones_.end();)
    {
        if (present_zones.count(zone->first) == 0)
            zone = zones_.erase(zone);
        else
            ++zone;
    }
    for (const std::string& zone : present_zones)
    {
        if (zone == own_zone)
            continue;
        remote_zone& remote =
            zones_
                .try_emplace(
                    zone,
                    remote_zone{relay_selector("", relay_selector_settings{}),
                                ""})
                .first->second;
        remote.selector.set_candidates(directory.relay_candidates(zone), now);
    }
}

void load_exchange::report()
{
    const time_point now = core_.now();
    while (!pending_reports_.empty() &&
           now - pending_reports_.begin()->second.sent_at > max_response_age)
        pending_reports_.erase(pending_reports_.begin());

    update_relay();
    const bool is_relay = was_relay_;
    aggregated_loads local_load = local_loads();
    const bool has_observations =
        now - observations_sent_at_ >= observation_period;
    if (has_observations)
    {
        observations_sent_at_ = now;
        local_load.observations = fleet_.local_observations(now);
    }
    if (!is_relay)
    {
        send_report(sharing_message::kind::host_report, local_load,
                    current_relay_);
        ask_other_zones();
        return;
    }
    aggregator_.update_host(fleet_.settings().host,
                            {0, 1, local_load.hosts, local_load.loads,
                             local_load.observations, local_load.limits},
                            now);
    follower_.directory().record_report(fleet_.settings().host, now);
    apply(loads_except(fleet_.settings().host));
    if (now - zones_reported_at_ < zone_report_period)
        return;
    zones_reported_at_ = now;
    aggregated_loads sum = aggregator_.sum_of_hosts_except("", now);
    if (now - zone_observations_sent_at_ >= observation_period)
        zone_observations_sent_at_ = now;
    else
        sum.observations.clear();
    report_to_zones(sum);
    follower_.remove_rows(follower_.directory().stale_rows(
        fleet_.settings().availability_zone, now));
}

void load_exchange::ask_other_zones()
{
    const time_point now = core_.now();
    const bool is_needed =
        follower_.is_outdated() && !follower_.monitor().is_store_reachable();
    if (!is_needed || now - zones_asked_at_ < zone_question_period)
        return;
    zones_asked_at_ = now;
    // The load of this host goes to the relay of its own zone.
    report_to_zones({});
}

void load_exchange::update_relay()
{
    const time_point now = core_.now();
    selector_.set_self_eligible(follower_.monitor().is_store_reachable());
    const std::string current_relay = selector_.relay(now).value_or("");
    const bool is_relay = current_relay.empty();
    if (current_relay != current_relay_ || is_relay != was_relay_)
        core_.journal().record(
            event_number::relay_chosen,
            {{"relay", is_relay ? fleet_.settings().host : current_relay},
             {"before", current_relay_},
             {"hosts",
              std::to_string(follower_.directory().serving_host_count())},
             {"store_answers",
              follower_.monitor().is_store_reachable() ? "yes" : "no"}});
    if (is_relay && !was_relay_)
        follower_.directory().reset_report_times(now);
    current_relay_ = current_relay;
    was_relay_ = is_relay;
    follower_.set_relay(is_relay);
}

void load_exchange::report_to_zones(const aggregated_loads& sum)
{
    const time_point now = core_.now();
    for (auto& [zone, remote] : zones_)
    {
        const std::optional<std::string> relay = remote.selector.relay(now);
        if (relay)
            send_report(sharing_message::kind::zone_report, sum, *relay);
        else
            remote.relay.clear();
    }
}

void load_exchange::send_report(sharing_message::kind message_kind,
                                const aggregated_loads& loads,
                                const std::string& host)
{
    const host_record* const recipient = follower_.directory().find(host);
    if (recipient == nullptr)
        return;
    ++last_report_number_;
    pending_reports_[last_report_number_] = {host, core_.now()};
    send(message_kind, last_report_number_, loads,
         datagram_endpoint(recipient->address, recipient->port));
}

void load_exchange::send(sharing_message::kind message_kind,
                         std::uint64_t number, const aggregated_loads& loads,
                         const boost::asio::ip::udp::endpoint& to)
{
    sharing_message message;
    message.type = message_kind;
    message.host = fleet_.settings().host;
    message.availability_zone = fleet_.settings().availability_zone;
    message.number = number;
    message.is_relay = was_relay_;
    message.positions = follower_.replicas().positions(core_.now());
    for (load_part& part : split_loads(loads))
    {
        message.load = std::move(part);
        datagrams_.send(encode_message(message), to);
    }
}

// ========================================================================
// Receiving

bool load_exchange::receive(std::string_view bytes,
                            const boost::asio::ip::udp::endpoint& sender)
{
    const result<sharing_message> message = decode_message(bytes);
    if (!message)
        return false;
    handle_message(message.value(), sender);
    return true;
}

void load_exchange::handle_message(const sharing_message& message,
                                   const boost::asio::ip::udp::endpoint& sender)
{
    using message_handler = void (load_exchange::*)(
        const sharing_message&, const boost::asio::ip::udp::endpoint&);
    constexpr std::array<message_handler, 4> handlers{
        &load_exchange::handle_host_report,
        &load_exchange::handle_host_response,
        &load_exchange::handle_zone_report,
        &load_exchange::handle_zone_response};
    (this->*handlers[static_cast<std::size_t>(message.type)])(message, sender);
}

void load_exchange::handle_host_report(
    const sharing_message& message,
    const boost::asio::ip::udp::endpoint& sender)
{
    const time_point now = core_.now();
    aggregator_.update_host(message.host, message.load, now);
    follower_.directory().record_report(message.host, now);
    selector_.record_report(now);
    if (!was_relay_ && selector_.is_relay(now))
        update_relay();
    const bool is_last_part = message.load.index + 1 == message.load.count;
    if (is_last_part)
        send(sharing_message::kind::host_response, message.number,
             response_loads(message, loads_except(message.host)), sender);
}

void load_exchange::handle_zone_report(
    const sharing_message& message,
    const boost::asio::ip::udp::endpoint& sender)
{
    const time_point now = core_.now();
    if (message.is_relay)
        aggregator_.update_zone(message.availability_zone, message.load, now);
    const bool is_last_part = message.load.index + 1 == message.load.count;
    if (is_last_part)
        send(sharing_message::kind::zone_response, message.number,
             response_loads(message, aggregator_.sum_of_hosts_except("", now)),
             sender);
}

aggregated_loads load_exchange::response_loads(const sharing_message& report,
                                               aggregated_loads loads)
{
    // Reports in several parts contain observations in the first one only, and
    // are answered after the last one.
    const bool wants_observations =
        !report.load.observations.empty() ||
        (report.load.count > 1 && report.number % report_parts_interval == 0);
    if (!wants_observations)
        loads.observations.clear();
    return loads;
}

std::optional<load_exchange::pending_report>
load_exchange::find_pending_report(const sharing_message& message)
{
    const auto entry = pending_reports_.find(message.number);
    if (entry == pending_reports_.end() || entry->second.host != message.host)
        return std::nullopt;
    return entry->second;
}

void load_exchange::handle_host_response(const sharing_message& message,
                                         const boost::asio::ip::udp::endpoint&)
{
    const time_point now = core_.now();
    const std::optional<pending_report> pending = find_pending_report(message);
    if (!pending || now - pending->sent_at > max_response_age)
        return;
    const host_record* const relay = follower_.directory().find(message.host);
    if (relay == nullptr)
        return;
    const bool is_fresh =
        follower_.apply_positions(*relay, message.positions, pending->sent_at);
    selector_.record_response(message.host, is_fresh && message.is_relay, now);
    if (message.host == current_relay_)
        apply_part(message.load);
}

void load_exchange::handle_zone_response(const sharing_message& message,
                                         const boost::asio::ip::udp::endpoint&)
{
    const time_point now = core_.now();
    const std::optional<pending_report> pending = find_pending_report(message);
    const auto zone = zones_.find(message.availability_zone);
    if (!pending || zone == zones_.end() ||
        now - pending->sent_at > max_response_age)
        return;
    zone->second.selector.record_response(message.host, message.is_relay, now);
    const host_record* const relay = follower_.directory().find(message.host);
    if (relay != nullptr && follower_.is_outdated())
        follower_.apply_positions(*relay, message.positions, pending->sent_at);
    if (!message.is_relay)
        return;
    zone->second.relay = message.host;
    aggregator_.update_zone(message.availability_zone, message.load, now);
}

// ========================================================================
// Loads

aggregated_loads load_exchange::local_loads() const
{
    const time_point now = core_.now();
    aggregated_loads local_load;
    local_load.hosts = 1;
    for (const auto& [id, target] : fleet_.registry().targets())
    {
        const double exchanges = target->delay.exchanges(now);
        in_flight_load load{target->requests.level(),
                            target->pending_prefill_tokens.level(),
                            target->kv_tokens.level(),
                            target->health.is_usable(now) ? 0.0 : 1.0,
                            now < target->stage_change_until ? 1.0 : 0.0,
                            exchanges,
                            exchanges * target->delay.mean_ms(now)};
        for (std::size_t rank = 0; rank < urgent_rank_count; ++rank)
            load.urgent_prefill_tokens[rank] =
                target->urgent_prefill_tokens[rank].level();
        const bool is_significant = load.requests >= min_reported_requests ||
                                    load.hosts_suspecting > 0 ||
                                    load.hosts_changing_stage > 0 ||
                                    exchanges >= min_reported_exchanges;
        if (is_significant)
            local_load.loads[target->key] = load;
        const std::optional<request_limit_report> limit =
            target->request_limit.report(now);
        if (limit)
            local_load.limits[target->incarnation] = *limit;
    }
    return local_load;
}

aggregated_loads load_exchange::loads_except(const std::string& host)
{
    const time_point now = core_.now();
    aggregated_loads remote_loads = aggregator_.sum_of_hosts_except(host, now);
    if (!was_relay_)
        return remote_loads;
    const aggregated_loads zones = aggregator_.sum_of_zones(now);
    remote_loads.hosts += zones.hosts;
    add_loads(remote_loads.loads, zones.loads);
    add_observations(remote_loads.observations, zones.observations);
    add_reports(remote_loads.limits, zones.limits,
                std::chrono::milliseconds(0));
    return remote_loads;
}

void load_exchange::apply(const aggregated_loads& remote_loads)
{
    apply_part({0, 1, remote_loads.hosts, remote_loads.loads,
                remote_loads.observations, remote_loads.limits});
}

void load_exchange::apply_part(const load_part& part)
{
    const time_point now = core_.now();
    fleet_.set_remote_observations(part.observations, now);
    for (const auto& [id, target] : fleet_.registry().targets())
    {
        if (target->incarnation % part.count == part.index)
        {
            const auto limit = part.limits.find(target->incarnation);
            fleet_.apply_limit_reports(
                *target, limit == part.limits.end() ? nullptr : &limit->second,
                part.hosts);
        }
        if (target->key % part.count != part.index)
            continue;
        const auto load = part.loads.find(target->key);
        target->remote_load =
            load == part.loads.end() ? in_flight_load{} : load->second;
        target->remote_load_received_at = now;
    }
    reporting_hosts_ = part.hosts + 1;
    core_.metrics()
        .gauge_of("hibiscusferry_hosts_heard")
        .set(static_cast<double>(part.hosts + 1));
}

} // namespace hibiscusferry
