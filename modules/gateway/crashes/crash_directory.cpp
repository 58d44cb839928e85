#include "gateway/crashes/crash_directory.hpp"

#include "gateway/crashes/request_fingerprint.hpp"

#include <algorithm>
#include <array>
#include <cinttypes>
#include <cstdio>
#include <iterator>
#include <tuple>

namespace hibiscusferry
{

namespace
{

/** Interval between rounds, and the number of hosts that news is sent to in
    each. Several hundred hosts know of a crash within about ten rounds. */
constexpr std::chrono::milliseconds round_period{100};
constexpr std::size_t hosts_per_round = 3;
/** How long news is sent. */
constexpr std::chrono::milliseconds news_lifetime{2000};

constexpr std::chrono::milliseconds query_period{1000};

/** A crashed target refuses connections at once, or is unreachable. */
constexpr std::chrono::milliseconds investigation_timeout{250};

/** Interval at which further hosts may probe a request, while none has done so:
    one that seldom comes again may not reach the preferred host for long. Many
    times the time in which hosts learn that a probe failed. */
constexpr std::chrono::milliseconds prober_interval{5000};

/** Longer paths are cut off in the log. */
constexpr std::size_t max_description_bytes = 160;

constexpr char unreadable_crash_messages[] =
    "hibiscusferry_crash_messages_unreadable_total";
constexpr char suspected_block_count[] =
    "hibiscusferry_suspected_prompt_blocks";
constexpr char suspected_request_count[] = "hibiscusferry_suspected_requests";

incarnation_key key_of(const target_record& target)
{
    return key_of_incarnation(target.id, target.started_at);
}

} // namespace

crash_directory::crash_directory(process_core& core, std::string host,
                                 const peer_directory& peers,
                                 datagram_channel& datagrams)
    : core_(core)
    , host_(std::move(host))
    , peers_(peers)
    , datagrams_(datagrams)
    , random_(combine_hashes(stable_hash(core.id()), stable_hash(host_)))
{
}

result<void> crash_directory::start()
{
    datagrams_.add_receiver([this](std::string_view bytes,
                                   const boost::asio::ip::udp::endpoint& sender)
                            { return receive(bytes, sender); });
    core_.repeat(round_period, [this] { exchange(); });
    return outcome::success();
}

void crash_directory::stop()
{
    is_stopping_ = true;
}

// ========================================================================
// Requests

crash_directory::described_inputs
crash_directory::inputs_of(const gateway_request& request)
{
    described_inputs inputs;
    const std::size_t blocks =
        request.prompt ? request.prompt->shared_block_count() : 0;
    for (std::size_t index = 0; index < blocks; ++index)
    {
        const std::string& id = request.prompt->blocks[index].id;
        inputs[key_of_block(stable_hash(id))] = id;
    }
    inputs[key_of_request(fingerprint_of(request))] =
        (request.message.method + " " + request.host + request.message.target)
            .substr(0, max_description_bytes);
    return inputs;
}

request_treatment crash_directory::assess(const gateway_request& request,
                                          std::chrono::milliseconds time_limit)
{
    if (suspected_.empty())
        return request_treatment::admitted;
    const time_point now = core_.now();
    std::vector<input_key> suspects;
    for (const auto& [input, description] : inputs_of(request))
    {
        if (!evidence_.is_suspected(input, now))
            continue;
        suspects.push_back(input);
        descriptions_[input] = description;
    }
    if (suspects.empty())
        return request_treatment::admitted;
    const input_key input = suspects.front();
    const auto running = probes_.find(input);
    const bool is_running = running != probes_.end() && now < running->second;
    // A probe with two suspected inputs would not tell which one is the cause.
    if (suspects.size() > 1 || is_running || !is_prober(input, now))
        return request_treatment::refused;
    probes_[input] = now + time_limit;
    return request_treatment::probe;
}

bool crash_directory::is_prober(input_key input, time_point now) const
{
    const time_point due_at = evidence_.probe_due_at(input);
    if (now < due_at)
        return false;
    const std::uint64_t own_weight =
        rendezvous_weight(input, stable_hash(host_));
    const std::vector<peer_host> hosts = peers_.serving_hosts();
    const std::ptrdiff_t preferred_hosts = std::count_if(
        hosts.begin(), hosts.end(),
        [&](const peer_host& peer)
        {
            return peer.host != host_ &&
                   rendezvous_weight(input, stable_hash(peer.host)) >
                       own_weight;
        });
    const std::int64_t other_probers =
        is_request_key(input) ? (now - due_at) / prober_interval : 0;
    return preferred_hosts <= other_probers;
}

void crash_directory::report_completion(const gateway_request& request)
{
    if (evidence_.records().empty())
        return;
    std::vector<input_key> inputs;
    for (const auto& [input, description] : inputs_of(request))
        inputs.push_back(input);
    record_completion(inputs);
}

void crash_directory::record_completion(const std::vector<input_key>& inputs)
{
    const time_point now = core_.now();
    if (!evidence_.record_completion(inputs, now))
        return;
    for (const input_key input : inputs)
    {
        probes_.erase(input);
        if (evidence_.find(input) != nullptr)
            news_[input] = now + news_lifetime;
    }
    log_changes();
}

bool crash_directory::accuse(const target_record& target,
                             const gateway_request& request, bool was_probe)
{
    const bool is_investigated = investigations_.count(target.id) > 0;
    accused_inputs& accused = investigations_[target.id];
    if (!is_investigated)
        accused.broken_at = core_.now();
    for (const auto& [input, description] : inputs_of(request))
    {
        descriptions_[input] = description;
        accused.inputs.insert(input);
        if (was_probe && probes_.count(input) > 0)
            accused.probed.insert(input);
    }
    return !is_investigated;
}

void crash_directory::report_broken_attempt(const target_record& target,
                                            const gateway_request& request,
                                            bool was_probe)
{
    if (accuse(target, request, was_probe))
        start_task(core_.context(),
                   [this, target](boost::asio::yield_context yield) {
                       finish_investigation(target, !is_running(target, yield));
                   });
}

bool crash_directory::investigate_broken_attempt(
    const target_record& target, const gateway_request& request, bool was_probe,
    boost::asio::yield_context yield)
{
    const bool is_investigator = accuse(target, request, was_probe);
    const bool has_crashed = !is_running(target, yield);
    if (is_investigator)
        finish_investigation(target, has_crashed);
    return has_crashed;
}

bool crash_directory::is_running(const target_record& target,
                                 boost::asio::yield_context yield)
{
    return core_.connections()
        .open(target.endpoint, investigation_timeout, yield)
        .has_value();
}

void crash_directory::finish_investigation(const target_record& target,
                                           bool has_crashed)
{
    const accused_inputs accused = std::move(investigations_[target.id]);
    investigations_.erase(target.id);
    if (has_crashed)
        record_crash(target, accused);
}

void crash_directory::record_crash(const target_record& target,
                                   const accused_inputs& accused)
{
    const time_point now = core_.now();
    std::string blocks;
    std::string requests;
    for (const input_key input : accused.inputs)
    {
        const bool was_probe = accused.probed.count(input) > 0;
        evidence_.record_crash(key_of(target), {input}, was_probe,
                               accused.broken_at);
        if (was_probe)
            probes_.erase(input);
        news_[input] = now + news_lifetime;
        std::string& ids = is_request_key(input) ? requests : blocks;
        ids += (ids.empty() ? "" : ",") + id_of(input);
    }
    core_.journal().record(event_number::target_crashed,
                           {{"target", target.id},
                            {"address", target.endpoint.text()},
                            {"blocks", blocks},
                            {"requests", requests}});
    log_changes();
    send_news();
}

// ========================================================================
// Exchange with other hosts

void crash_directory::exchange()
{
    if (is_stopping_)
        return;
    const time_point now = core_.now();
    send_news();
    if (now - queried_at_ < query_period)
        return;
    queried_at_ = now;
    remove_expired(now);
    log_changes();
    query_random_host();
}

void crash_directory::remove_expired(time_point now)
{
    evidence_.remove_expired(now);
    for (auto probe = probes_.begin(); probe != probes_.end();)
        probe = now < probe->second ? std::next(probe) : probes_.erase(probe);
    for (auto entry = descriptions_.begin(); entry != descriptions_.end();)
    {
        const bool is_used =
            evidence_.find(entry->first) != nullptr || !investigations_.empty();
        entry = is_used ? std::next(entry) : descriptions_.erase(entry);
    }
}

void crash_directory::send_news()
{
    const time_point now = core_.now();
    for (auto entry = news_.begin(); entry != news_.end();)
        entry = now < entry->second ? std::next(entry) : news_.erase(entry);
    if (news_.empty())
        return;
    std::vector<input_key> inputs;
    for (const auto& [input, until] : news_)
        inputs.push_back(input);
    for (const boost::asio::ip::udp::endpoint& peer :
         random_hosts(hosts_per_round))
        send(crash_message::kind::report, inputs, peer);
}

void crash_directory::query_random_host()
{
    for (const boost::asio::ip::udp::endpoint& peer : random_hosts(1))
        send(crash_message::kind::query, {}, peer);
}

void crash_directory::send(crash_message::kind message_kind,
                           const std::vector<input_key>& inputs,
                           const boost::asio::ip::udp::endpoint& to)
{
    crash_message message;
    message.type = message_kind;
    message.digest = evidence_.digest();
    // Those with the most crashes first: the others are rarely the cause. Among
    // equals the choice is random, so that repeated messages contain all.
    std::vector<std::tuple<std::size_t, std::uint64_t, input_key>> ranked;
    for (const input_key input : inputs)
    {
        const input_record* const record = evidence_.find(input);
        if (record != nullptr)
            ranked.emplace_back(record->uncleared_crashes().size(), random_(),
                                input);
    }
    const std::size_t count =
        std::min(ranked.size(), crash_message::max_inputs);
    std::partial_sort(ranked.begin(),
                      ranked.begin() + static_cast<std::ptrdiff_t>(count),
                      ranked.end(), std::greater<>());
    for (std::size_t index = 0; index < count; ++index)
    {
        const input_key input = std::get<2>(ranked[index]);
        message.records[input] = *evidence_.find(input);
    }
    datagrams_.send(encode_crash_message(message, core_.now()), to);
}

std::vector<boost::asio::ip::udp::endpoint>
crash_directory::random_hosts(std::size_t count)
{
    std::vector<peer_host> hosts = peers_.serving_hosts();
    hosts.erase(std::remove_if(hosts.begin(), hosts.end(),
                               [this](const peer_host& peer)
                               { return peer.host == host_; }),
                hosts.end());
    std::vector<peer_host> selected;
    std::sample(hosts.begin(), hosts.end(), std::back_inserter(selected), count,
                random_);
    std::vector<boost::asio::ip::udp::endpoint> endpoints;
    endpoints.reserve(selected.size());
    for (const peer_host& peer : selected)
        endpoints.push_back(datagram_endpoint(peer.address, peer.port));
    return endpoints;
}

bool crash_directory::receive(std::string_view bytes,
                              const boost::asio::ip::udp::endpoint& sender)
{
    if (!is_crash_message(bytes))
        return false;
    const result<crash_message> message =
        decode_crash_message(bytes, core_.now());
    if (message)
        handle_message(message.value(), sender);
    else
        core_.metrics().counter_of(unreadable_crash_messages).add();
    return true;
}

void crash_directory::handle_message(
    const crash_message& message, const boost::asio::ip::udp::endpoint& sender)
{
    const time_point now = core_.now();
    if (message.type == crash_message::kind::query)
    {
        if (message.digest == evidence_.digest())
            return;
        std::vector<input_key> inputs;
        for (const auto& [input, record] : evidence_.records())
            inputs.push_back(input);
        send(crash_message::kind::reply, inputs, sender);
        return;
    }
    for (const auto& [input, record] : message.records)
    {
        const bool is_news = evidence_.merge(input, record, now);
        if (is_news && message.type == crash_message::kind::report)
            news_[input] = now + news_lifetime;
    }
    log_changes();
}

// ========================================================================
// Log

void crash_directory::log_changes()
{
    const time_point now = core_.now();
    for (const auto& [input, record] : evidence_.records())
    {
        if (evidence_.is_suspected(input, now) &&
            suspected_.insert(input).second)
            log_change(is_request_key(input)
                           ? event_number::request_suspected
                           : event_number::prompt_block_suspected,
                       input);
    }
    for (auto input = suspected_.begin(); input != suspected_.end();)
    {
        if (evidence_.is_suspected(*input, now))
        {
            ++input;
            continue;
        }
        log_change(is_request_key(*input) ? event_number::request_cleared
                                          : event_number::prompt_block_cleared,
                   *input);
        input = suspected_.erase(input);
    }
    const std::ptrdiff_t requests =
        std::count_if(suspected_.begin(), suspected_.end(), is_request_key);
    core_.metrics()
        .gauge_of(suspected_request_count)
        .set(static_cast<double>(requests));
    core_.metrics()
        .gauge_of(suspected_block_count)
        .set(static_cast<double>(suspected_.size()) -
             static_cast<double>(requests));
}

void crash_directory::log_change(event_number number, input_key input)
{
    const suspected_input details = describe(input);
    std::vector<event_field> fields{
        {is_request_key(input) ? "fingerprint" : "block", details.id},
        {"crashes", std::to_string(details.crashes)},
        {"failed_probes", std::to_string(details.failed_probes)},
        {"first_crash_ms_ago",
         std::to_string(details.first_crash_age.count())}};
    if (!details.request.empty())
        fields.push_back({"words", details.request});
    core_.journal().record(number, std::move(fields));
}

std::vector<suspected_input> crash_directory::suspected_inputs() const
{
    std::vector<suspected_input> inputs;
    for (const auto& [input, record] : evidence_.records())
    {
        if (evidence_.is_suspected(input, core_.now()))
            inputs.push_back(describe(input));
    }
    return inputs;
}

bool crash_directory::end_suspicion(const std::string& id)
{
    for (const auto& [input, record] : evidence_.records())
    {
        if (id_of(input) != id || !evidence_.is_suspected(input, core_.now()))
            continue;
        record_completion({input});
        return true;
    }
    return false;
}

suspected_input crash_directory::describe(input_key input) const
{
    suspected_input details;
    details.id = id_of(input);
    const auto description = descriptions_.find(input);
    if (is_request_key(input) && description != descriptions_.end())
        details.request = description->second;
    const input_record* const record = evidence_.find(input);
    if (record == nullptr)
        return details;
    const std::vector<time_point> crashes = record->uncleared_crashes();
    details.crashes = crashes.size();
    details.failed_probes = record->uncleared_probes();
    if (!crashes.empty())
        details.first_crash_age =
            std::chrono::duration_cast<std::chrono::milliseconds>(
                core_.now() - crashes.front());
    return details;
}

std::string crash_directory::id_of(input_key input) const
{
    if (is_request_key(input))
    {
        std::array<char, 32> id{};
        std::snprintf(id.data(), id.size(), "request-%016" PRIx64, input);
        return id.data();
    }
    const auto entry = descriptions_.find(input);
    return entry != descriptions_.end() ? entry->second
                                        : "key-" + std::to_string(input);
}

} // namespace hibiscusferry
