#include "gateway/sharing/load_exchange.hpp"

#include <array>

namespace hibiscusferry
{

namespace
{

/** Between two reports of a host: so much for each host of its zone, so that
    the relay's work does not grow with them, and no less than a fraction of
    what a prompt takes to read. */
constexpr std::chrono::milliseconds period_for_host{2};
constexpr std::chrono::milliseconds least_period{25};
/** Between two reports to the other zones. */
constexpr std::chrono::milliseconds zones_period{30};
/** Loads that were not renewed for this long say nothing any more. */
constexpr std::chrono::milliseconds load_lifetime{600};
/** An answer that comes later is too old to tell a load. */
constexpr std::chrono::milliseconds answer_lifetime{1000};
constexpr std::size_t datagram_bytes = 2048;
/** Targets of which this host has less to tell are left out. */
constexpr double least_requests = 0.5;
constexpr double least_exchanges = 0.2;

boost::asio::ip::udp::endpoint endpoint_of(const std::string& address,
                                           std::uint16_t port)
{
    boost::system::error_code ignored;
    return {boost::asio::ip::make_address(address, ignored), port};
}

} // namespace

load_exchange::load_exchange(process_core& core, fleet_state& fleet,
                             state_follower& follower)
    : core_(core)
    , fleet_(fleet)
    , follower_(follower)
    , socket_(core.context())
    , line_(fleet.settings().host, relay_selector_settings{})
    , aggregator_(load_lifetime)
{
}

result<void> load_exchange::start()
{
    const host_settings& settings = fleet_.settings();
    const boost::asio::ip::udp::endpoint own =
        endpoint_of(settings.address, settings.peer_port);
    boost::system::error_code error;
    socket_.open(own.protocol(), error);
    if (!error)
        socket_.bind(own, error);
    if (error)
        return std::error_code(error);
    start_task(core_.context(),
               [this](boost::asio::yield_context yield) { receive(yield); });
    start_task(core_.context(),
               [this](boost::asio::yield_context yield) { exchange(yield); });
    return outcome::success();
}

void load_exchange::stop()
{
    is_stopping_ = true;
    boost::system::error_code ignored;
    socket_.close(ignored);
}

std::vector<std::string> load_exchange::relays()
{
    std::vector<std::string> names;
    names.push_back(followed_.empty() ? fleet_.settings().host : followed_);
    for (const auto& [zone, other] : zones_)
    {
        if (!other.relay.empty())
            names.push_back(other.relay);
    }
    return names;
}

// ========================================================================
// Reporting

std::chrono::milliseconds load_exchange::period() const
{
    const std::size_t hosts =
        follower_.roster().line(fleet_.settings().availability_zone).size();
    return std::max<std::chrono::milliseconds>(
        least_period, period_for_host * static_cast<std::int64_t>(hosts));
}

void load_exchange::exchange(boost::asio::yield_context yield)
{
    while (!is_stopping_)
    {
        follow_roster();
        report();
        sleep_for(core_.context(), period(), yield);
    }
}

void load_exchange::follow_roster()
{
    const std::uint64_t digest =
        follower_.replicas().replica(fleet_table::hosts).digest();
    if (digest == roster_digest_)
        return;
    roster_digest_ = digest;
    const time_point now = core_.now();
    const host_roster& roster = follower_.roster();
    const std::string& own_zone = fleet_.settings().availability_zone;
    line_.set_candidates(roster.line(own_zone), now);
    const std::set<std::string> present = roster.zones();
    for (auto zone = zones_.begin(); zone != zones_.end();)
    {
        if (present.count(zone->first) == 0)
            zone = zones_.erase(zone);
        else
            ++zone;
    }
    for (const std::string& zone : present)
    {
        if (zone == own_zone)
            continue;
        other_zone& other =
            zones_
                .try_emplace(
                    zone,
                    other_zone{relay_selector("", relay_selector_settings{}),
                               ""})
                .first->second;
        other.line.set_candidates(roster.line(zone), now);
    }
}

void load_exchange::report()
{
    const time_point now = core_.now();
    while (!unanswered_.empty() &&
           now - unanswered_.begin()->second.at > answer_lifetime)
        unanswered_.erase(unanswered_.begin());

    line_.set_self_eligible(follower_.link().answers_here());
    const std::string followed = line_.relay(now).value_or("");
    const bool is_relay = followed.empty();
    if (followed != followed_ || is_relay != was_relay_)
        core_.journal().record(
            event_number::relay_chosen,
            {{"relay", is_relay ? fleet_.settings().host : followed},
             {"before", followed_},
             {"hosts", std::to_string(follower_.roster().serving_hosts())},
             {"store_answers",
              follower_.link().answers_here() ? "yes" : "no"}});
    if (is_relay && !was_relay_)
        follower_.roster().begin_watch(now);
    followed_ = followed;
    was_relay_ = is_relay;
    follower_.set_relay(is_relay);

    const aggregated_loads own = own_loads();
    if (!is_relay)
    {
        send_report(sharing_message::kind::host_report, own, followed);
        return;
    }
    aggregator_.update_host(fleet_.settings().host,
                            {0, 1, own.hosts, own.loads}, now);
    follower_.roster().heard(fleet_.settings().host, now);
    apply(others_of(fleet_.settings().host));
    if (now - zones_told_at_ < zones_period)
        return;
    zones_told_at_ = now;
    report_to_zones();
}

void load_exchange::report_to_zones()
{
    const time_point now = core_.now();
    const aggregated_loads sum = aggregator_.sum_of_hosts_except("", now);
    for (auto& [zone, other] : zones_)
    {
        const std::optional<std::string> relay = other.line.relay(now);
        if (relay)
            send_report(sharing_message::kind::zone_report, sum, *relay);
        else
            other.relay.clear();
    }
    follower_.remove_rows(
        follower_.roster().silent(fleet_.settings().availability_zone, now));
}

void load_exchange::send_report(sharing_message::kind what,
                                const aggregated_loads& loads,
                                const std::string& host)
{
    const roster_host* const to = follower_.roster().find(host);
    if (to == nullptr)
        return;
    ++last_number_;
    unanswered_[last_number_] = {host, core_.now()};
    send(what, last_number_, loads, endpoint_of(to->address, to->port));
}

void load_exchange::send(sharing_message::kind what, std::uint64_t number,
                         const aggregated_loads& loads,
                         const boost::asio::ip::udp::endpoint& to)
{
    sharing_message message;
    message.what = what;
    message.host = fleet_.settings().host;
    message.availability_zone = fleet_.settings().availability_zone;
    message.number = number;
    message.is_relay = was_relay_;
    message.positions = follower_.replicas().positions(core_.now());
    for (load_part& part : split_loads(loads))
    {
        message.load = std::move(part);
        boost::system::error_code error;
        socket_.send_to(boost::asio::buffer(encode_message(message)), to, 0,
                        error);
        if (error)
            core_.metrics()
                .counter_of("hibiscusferry_sharing_send_failures_total")
                .add();
    }
}

// ========================================================================
// Hearing

void load_exchange::receive(boost::asio::yield_context yield)
{
    std::array<char, datagram_bytes> bytes;
    while (!is_stopping_)
    {
        boost::asio::ip::udp::endpoint from;
        boost::system::error_code error;
        const std::size_t size = socket_.async_receive_from(
            boost::asio::buffer(bytes), from, yield[error]);
        if (error)
        {
            // A host that has just ended answers with an ICMP error.
            if (!is_stopping_)
                sleep_for(core_.context(), least_period, yield);
            continue;
        }
        const result<sharing_message> message =
            decode_message({bytes.data(), size});
        if (message)
            take(message.value(), from);
        else
            core_.metrics()
                .counter_of("hibiscusferry_sharing_unreadable_total")
                .add();
    }
}

void load_exchange::take(const sharing_message& message,
                         const boost::asio::ip::udp::endpoint& from)
{
    using take_function = void (load_exchange::*)(
        const sharing_message&, const boost::asio::ip::udp::endpoint&);
    constexpr std::array<take_function, 4> functions{
        &load_exchange::take_host_report, &load_exchange::take_host_answer,
        &load_exchange::take_zone_report, &load_exchange::take_zone_answer};
    (this->*functions[static_cast<std::size_t>(message.what)])(message, from);
}

void load_exchange::take_host_report(const sharing_message& message,
                                     const boost::asio::ip::udp::endpoint& from)
{
    const time_point now = core_.now();
    aggregator_.update_host(message.host, message.load, now);
    follower_.roster().heard(message.host, now);
    const bool is_last_part = message.load.index + 1 == message.load.count;
    if (is_last_part)
        send(sharing_message::kind::host_response, message.number,
             others_of(message.host), from);
}

void load_exchange::take_zone_report(const sharing_message& message,
                                     const boost::asio::ip::udp::endpoint& from)
{
    const time_point now = core_.now();
    if (message.is_relay)
        aggregator_.update_zone(message.availability_zone, message.load, now);
    const bool is_last_part = message.load.index + 1 == message.load.count;
    if (is_last_part)
        send(sharing_message::kind::zone_response, message.number,
             aggregator_.sum_of_hosts_except("", now), from);
}

std::optional<load_exchange::sent_report>
load_exchange::report_answered(const sharing_message& message)
{
    const auto found = unanswered_.find(message.number);
    if (found == unanswered_.end() || found->second.host != message.host)
        return std::nullopt;
    return found->second;
}

void load_exchange::take_host_answer(const sharing_message& message,
                                     const boost::asio::ip::udp::endpoint&)
{
    const time_point now = core_.now();
    const std::optional<sent_report> asked = report_answered(message);
    if (!asked || now - asked->at > answer_lifetime)
        return;
    const roster_host* const relay = follower_.roster().find(message.host);
    if (relay == nullptr)
        return;
    const bool is_fresh =
        follower_.apply_positions(*relay, message.positions, asked->at);
    line_.answered(message.host, is_fresh, now);
    if (message.host == followed_)
        apply_part(message.load);
}

void load_exchange::take_zone_answer(const sharing_message& message,
                                     const boost::asio::ip::udp::endpoint&)
{
    const time_point now = core_.now();
    const std::optional<sent_report> asked = report_answered(message);
    const auto zone = zones_.find(message.availability_zone);
    if (!asked || zone == zones_.end() || now - asked->at > answer_lifetime)
        return;
    zone->second.line.answered(message.host, message.is_relay, now);
    if (!message.is_relay)
        return;
    zone->second.relay = message.host;
    aggregator_.update_zone(message.availability_zone, message.load, now);
}

// ========================================================================
// Loads

aggregated_loads load_exchange::own_loads() const
{
    const time_point now = core_.now();
    aggregated_loads own;
    own.hosts = 1;
    for (const auto& [id, target] : fleet_.registry().targets())
    {
        const double exchanges = target->delay.exchanges(now);
        const in_flight_load load{target->requests.level(),
                                  target->pending_prefill_tokens.level(),
                                  target->kv_tokens.level(),
                                  target->health.is_usable(now) ? 0.0 : 1.0,
                                  now < target->stage_change_until ? 1.0 : 0.0,
                                  exchanges,
                                  exchanges * target->delay.mean_ms(now)};
        const bool is_worth_telling =
            load.requests >= least_requests || load.hosts_suspecting > 0 ||
            load.hosts_changing_stage > 0 || exchanges >= least_exchanges;
        if (is_worth_telling)
            own.loads[target->key] = load;
    }
    return own;
}

aggregated_loads load_exchange::others_of(const std::string& host)
{
    const time_point now = core_.now();
    aggregated_loads others = aggregator_.sum_of_hosts_except(host, now);
    if (!was_relay_)
        return others;
    const aggregated_loads zones = aggregator_.zones(now);
    others.hosts += zones.hosts;
    add_loads(others.loads, zones.loads);
    return others;
}

void load_exchange::apply(const aggregated_loads& others)
{
    apply_part({0, 1, others.hosts, others.loads});
}

void load_exchange::apply_part(const load_part& part)
{
    const time_point now = core_.now();
    for (const auto& [id, target] : fleet_.registry().targets())
    {
        if (target->key % part.count != part.index)
            continue;
        const auto load = part.loads.find(target->key);
        target->remote_load =
            load == part.loads.end() ? in_flight_load{} : load->second;
        target->remote_load_received_at = now;
    }
    core_.metrics()
        .gauge_of("hibiscusferry_hosts_heard")
        .set(static_cast<double>(part.hosts + 1));
}

} // namespace hibiscusferry
