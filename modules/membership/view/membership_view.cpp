#include "membership/view/membership_view.hpp"

#include <algorithm>

namespace hibiscusferry
{

namespace
{

constexpr std::chrono::hours absence_retention{1};

/** Limits the relayed probes that a host has in flight. */
constexpr std::size_t max_relayed_probes = 32;

/** Number of binary digits of the size of a fleet of eight hosts. */
constexpr std::size_t small_fleet_digits = 4;

bool is_up(member_state state)
{
    return state == member_state::alive || state == member_state::suspect;
}

} // namespace

membership_view::membership_view(std::string self,
                                 const membership_settings& settings,
                                 std::uint64_t seed, time_point now)
    : self_(std::move(self))
    , settings_(settings)
    , generator_(seed)
    , last_tick_(now)
    , next_probe_(now)
    , next_rejoin_(now)
{
    // A random offset prevents hosts that start together from probing at the
    // same time.
    next_probe_ += std::chrono::milliseconds(
        generator_() % static_cast<std::uint64_t>(std::max<std::int64_t>(
                           settings_.probe_period.count(), 1)));
}

// ========================================================================
// Events

membership_actions
membership_view::apply_host_list(const host_list_snapshot& snapshot,
                                 time_point now)
{
    membership_actions actions;
    if (snapshot.revision < revision_)
        return actions;
    revision_ = snapshot.revision;

    std::map<std::string, entry> listed;
    for (const listed_host& host : snapshot.hosts)
    {
        if (host.kind != host_kind::entry)
            continue;
        const auto current = hosts_.find(host.id);
        entry& member_entry = listed[host.id];
        if (current != hosts_.end())
            member_entry = current->second;
        else
            actions.changes.push_back({host.id, member_state::alive});
        member_entry.listing = host;
        absent_since_.erase(host.id);
    }
    for (const auto& [host, host_entry] : hosts_)
    {
        if (listed.count(host) == 0)
        {
            absent_since_.emplace(host, now);
            actions.changes.push_back({host, member_state::excluded});
        }
    }
    hosts_.swap(listed);
    for (auto& [host, host_entry] : hosts_)
    {
        if (host_entry.listing.state == host_state::leaving &&
            is_up(host_entry.state))
            set_state(host, host_entry, member_state::leaving,
                      host_entry.incarnation, now, actions);
    }
    for (auto absent = absent_since_.begin(); absent != absent_since_.end();)
    {
        absent = now - absent->second > absence_retention
                     ? absent_since_.erase(absent)
                     : std::next(absent);
    }
    return actions;
}

membership_actions membership_view::tick(time_point now)
{
    membership_actions actions;
    if (now - last_tick_ > 2 * settings_.probe_period)
        recover_from_pause(now);
    last_tick_ = now;
    if (probe_ && !probe_->indirect_probes_sent &&
        now >= probe_->sent + settings_.direct_probe_timeout)
        send_indirect_probes(actions);
    if (now >= next_probe_)
    {
        finish_probe(now, actions);
        start_probe(now, actions);
        next_probe_ = now + settings_.probe_period;
    }
    if (now >= next_rejoin_)
    {
        probe_excluded(actions);
        next_rejoin_ = now + settings_.rejoin_period;
    }
    expire_suspects(now, actions);
    relayed_.erase(
        std::remove_if(relayed_.begin(), relayed_.end(),
                       [&](const relayed_probe& relayed)
                       { return now - relayed.sent > settings_.probe_period; }),
        relayed_.end());
    return actions;
}

membership_actions membership_view::received(const membership_message& message,
                                             time_point now)
{
    membership_actions actions;
    const auto sender = hosts_.find(message.sender);
    if (sender == hosts_.end() || message.sender == self_)
        return actions;

    update_sender(message, sender->second, now, actions);
    for (const member_rumour& rumour : message.rumours)
        apply(rumour, now, actions);
    for (const member_digest& digest : message.digests)
        actions.digests.push_back({message.sender, digest});

    switch (message.kind)
    {
    case membership_message_kind::probe:
        acknowledge_probe(message, actions);
        break;
    case membership_message_kind::acknowledge:
        acknowledged(message, actions);
        break;
    case membership_message_kind::probe_request:
        relay_probe(message, now, actions);
        break;
    }
    return actions;
}

void membership_view::leave()
{
    leaving_ = true;
    queue_rumour({self_, member_state::leaving, incarnation_});
}

void membership_view::set_digest(std::uint8_t topic, const std::string& bytes)
{
    if (bytes.empty())
        digests_.erase(topic);
    else
        digests_[topic] = bytes;
}

// ========================================================================
// State

std::vector<std::string> membership_view::live_hosts() const
{
    return live_hosts("");
}

std::vector<std::string>
membership_view::live_hosts(const std::string& region) const
{
    std::vector<std::string> names;
    for (const auto& [host, host_entry] : hosts_)
    {
        const bool up = host == self_ ? !leaving_ : is_up(host_entry.state);
        if (up && (region.empty() || host_entry.listing.region == region))
            names.push_back(host);
    }
    return names;
}

std::optional<member> membership_view::find(const std::string& host) const
{
    const auto position = hosts_.find(host);
    if (position == hosts_.end())
        return std::nullopt;
    return member{position->second.listing, position->second.state,
                  position->second.incarnation};
}

std::size_t membership_view::size() const
{
    return hosts_.size();
}

std::optional<std::chrono::milliseconds>
membership_view::absent_for(const std::string& host, time_point now) const
{
    const auto position = absent_since_.find(host);
    if (position == absent_since_.end())
        return std::nullopt;
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        now - position->second);
}

// ========================================================================
// Private: state updates

void membership_view::update_sender(const membership_message& message,
                                    entry& host_entry, time_point now,
                                    membership_actions& actions)
{
    if (message.sender_leaving)
    {
        if (host_entry.state != member_state::leaving)
            set_state(message.sender, host_entry, member_state::leaving,
                      message.sender_incarnation, now, actions);
        return;
    }
    // The sender is up, because it has sent a message. It receives a suspicion
    // with the response and refutes it with a greater incarnation, which is
    // then spread by gossip.
    if (message.sender_incarnation > host_entry.incarnation)
        set_state(message.sender, host_entry, member_state::alive,
                  message.sender_incarnation, now, actions);
    else if (!is_up(host_entry.state) &&
             host_entry.state != member_state::leaving)
        queue_rumour(
            {message.sender, host_entry.state, host_entry.incarnation});
}

void membership_view::apply(const member_rumour& rumour, time_point now,
                            membership_actions& actions)
{
    if (rumour.host == self_)
    {
        refute(rumour);
        return;
    }
    const auto position = hosts_.find(rumour.host);
    if (position == hosts_.end())
        return;
    entry& host_entry = position->second;
    const bool is_newer = rumour.incarnation > host_entry.incarnation ||
                          (rumour.incarnation == host_entry.incarnation &&
                           rumour.state > host_entry.state);
    if (is_newer)
        set_state(rumour.host, host_entry, rumour.state, rumour.incarnation,
                  now, actions);
}

void membership_view::set_state(const std::string& host, entry& host_entry,
                                member_state state, std::uint32_t incarnation,
                                time_point now, membership_actions& actions)
{
    if (state == member_state::suspect &&
        host_entry.state != member_state::suspect)
    {
        host_entry.suspect_since = now;
        if (std::find(suspects_.begin(), suspects_.end(), host) ==
            suspects_.end())
            suspects_.push_back(host);
    }
    if (state != host_entry.state)
        actions.changes.push_back({host, state});
    host_entry.state = state;
    host_entry.incarnation = incarnation;
    queue_rumour({host, state, incarnation});
}

void membership_view::refute(const member_rumour& rumour)
{
    if (leaving_ || rumour.state == member_state::alive ||
        rumour.incarnation < incarnation_)
        return;
    incarnation_ = rumour.incarnation + 1;
    queue_rumour({self_, member_state::alive, incarnation_});
}

void membership_view::queue_rumour(const member_rumour& rumour)
{
    const auto queued =
        std::find_if(rumours_.begin(), rumours_.end(),
                     [&](const queued_rumour& candidate)
                     { return candidate.rumour.host == rumour.host; });
    if (queued != rumours_.end())
        rumours_.erase(queued);
    rumours_.push_back({rumour, 0});
}

void membership_view::send(const std::string& host, membership_message message,
                           membership_actions& actions)
{
    message.sender = self_;
    message.sender_incarnation = incarnation_;
    message.sender_leaving = leaving_;

    // The rumours that have been sent the fewest times come first.
    std::stable_sort(rumours_.begin(), rumours_.end(),
                     [](const queued_rumour& left, const queued_rumour& right)
                     { return left.sent < right.sent; });
    const std::size_t count = std::min(rumours_.size(), settings_.max_rumours);
    for (std::size_t index = 0; index < count; ++index)
    {
        message.rumours.push_back(rumours_[index].rumour);
        ++rumours_[index].sent;
    }
    const std::size_t limit = max_rumour_sends();
    rumours_.erase(std::remove_if(rumours_.begin(), rumours_.end(),
                                  [limit](const queued_rumour& candidate)
                                  { return candidate.sent >= limit; }),
                   rumours_.end());

    std::size_t remaining_bytes = settings_.digest_bytes;
    for (const auto& [topic, bytes] : digests_)
    {
        if (bytes.size() > remaining_bytes)
            break;
        remaining_bytes -= bytes.size();
        message.digests.push_back({topic, bytes});
    }
    actions.sends.push_back({host, std::move(message)});
}

// ========================================================================
// Private: probes

void membership_view::start_probe(time_point now, membership_actions& actions)
{
    probe_.reset();
    const std::optional<std::string> host = next_in_round();
    if (!host)
        return;
    probe_ = pending_probe{*host, ++last_sequence_, now, false};
    send_probe(*host, last_sequence_, actions);
}

void membership_view::send_probe(const std::string& host,
                                 std::uint32_t sequence,
                                 membership_actions& actions)
{
    membership_message message;
    message.kind = membership_message_kind::probe;
    message.sequence = sequence;
    // A host that is not considered alive receives its state, so that it can
    // refute it.
    const entry& host_entry = hosts_.at(host);
    if (host_entry.state != member_state::alive)
        message.rumours.push_back(
            {host, host_entry.state, host_entry.incarnation});
    send(host, std::move(message), actions);
}

void membership_view::send_indirect_probes(membership_actions& actions)
{
    probe_->indirect_probes_sent = true;
    std::vector<std::string> others = live_hosts();
    std::shuffle(others.begin(), others.end(), generator_);
    std::size_t request_count = 0;
    for (const std::string& other : others)
    {
        if (request_count == settings_.indirect_probes)
            break;
        if (other == self_ || other == probe_->host)
            continue;
        membership_message message;
        message.kind = membership_message_kind::probe_request;
        message.sequence = probe_->sequence;
        message.subject = probe_->host;
        send(other, std::move(message), actions);
        ++request_count;
    }
}

void membership_view::finish_probe(time_point now, membership_actions& actions)
{
    if (!probe_)
        return;
    const auto position = hosts_.find(probe_->host);
    if (position != hosts_.end() &&
        position->second.state == member_state::alive)
        set_state(position->first, position->second, member_state::suspect,
                  position->second.incarnation, now, actions);
    probe_.reset();
}

void membership_view::probe_excluded(membership_actions& actions)
{
    std::vector<std::string> excluded;
    for (const auto& [host, host_entry] : hosts_)
    {
        if (host != self_ && host_entry.state == member_state::excluded)
            excluded.push_back(host);
    }
    if (!excluded.empty())
    {
        send_probe(excluded[generator_() % excluded.size()], ++last_sequence_,
                   actions);
    }
}

void membership_view::expire_suspects(time_point now,
                                      membership_actions& actions)
{
    for (std::size_t index = 0; index < suspects_.size();)
    {
        const auto position = hosts_.find(suspects_[index]);
        const bool suspected = position != hosts_.end() &&
                               position->second.state == member_state::suspect;
        const bool has_timed_out =
            suspected &&
            now >= position->second.suspect_since + suspicion_timeout();
        if (suspected && !has_timed_out)
        {
            ++index;
            continue;
        }
        suspects_.erase(suspects_.begin() + static_cast<std::ptrdiff_t>(index));
        if (has_timed_out)
            set_state(position->first, position->second, member_state::excluded,
                      position->second.incarnation, now, actions);
    }
}

void membership_view::recover_from_pause(time_point now)
{
    probe_.reset();
    for (const std::string& host : suspects_)
    {
        const auto position = hosts_.find(host);
        if (position != hosts_.end())
            position->second.suspect_since = now;
    }
}

void membership_view::acknowledge_probe(const membership_message& message,
                                        membership_actions& actions)
{
    membership_message acknowledgement;
    acknowledgement.kind = membership_message_kind::acknowledge;
    acknowledgement.sequence = message.sequence;
    acknowledgement.subject = self_;
    const entry& host_entry = hosts_.at(message.sender);
    if (host_entry.state == member_state::suspect ||
        host_entry.state == member_state::excluded)
    {
        acknowledgement.rumours.push_back(
            {message.sender, host_entry.state, host_entry.incarnation});
    }
    send(message.sender, std::move(acknowledgement), actions);
}

void membership_view::relay_probe(const membership_message& message,
                                  time_point now, membership_actions& actions)
{
    if (hosts_.count(message.subject) == 0 || message.subject == self_ ||
        relayed_.size() >= max_relayed_probes)
        return;
    relayed_.push_back(
        {message.sender, message.sequence, ++last_sequence_, now});
    send_probe(message.subject, last_sequence_, actions);
}

void membership_view::acknowledged(const membership_message& message,
                                   membership_actions& actions)
{
    if (probe_ && probe_->sequence == message.sequence &&
        probe_->host == message.subject)
    {
        probe_.reset();
        return;
    }
    const auto relayed =
        std::find_if(relayed_.begin(), relayed_.end(),
                     [&](const relayed_probe& candidate)
                     { return candidate.sequence == message.sequence; });
    if (relayed == relayed_.end() || message.subject != message.sender)
        return;
    membership_message acknowledgement;
    acknowledgement.kind = membership_message_kind::acknowledge;
    acknowledgement.sequence = relayed->requester_sequence;
    acknowledgement.subject = message.sender;
    const std::string requester = relayed->requester;
    relayed_.erase(relayed);
    if (hosts_.count(requester) != 0)
        send(requester, std::move(acknowledgement), actions);
}

std::optional<std::string> membership_view::next_in_round()
{
    for (int attempt = 0; attempt < 2; ++attempt)
    {
        while (!round_.empty())
        {
            const std::string host = round_.back();
            round_.pop_back();
            const auto position = hosts_.find(host);
            if (position != hosts_.end() &&
                position->second.state != member_state::excluded)
                return host;
        }
        for (const auto& [host, host_entry] : hosts_)
        {
            if (host != self_ && host_entry.state != member_state::excluded)
                round_.push_back(host);
        }
        std::shuffle(round_.begin(), round_.end(), generator_);
    }
    return std::nullopt;
}

std::size_t membership_view::max_rumour_sends() const
{
    return settings_.rumour_repeats * binary_digits();
}

std::chrono::milliseconds membership_view::suspicion_timeout() const
{
    const std::size_t digits = std::max(binary_digits(), small_fleet_digits);
    return settings_.suspicion_timeout * digits / small_fleet_digits;
}

std::size_t membership_view::binary_digits() const
{
    std::size_t digits = 1;
    for (std::size_t hosts = hosts_.size(); hosts > 1; hosts /= 2)
        ++digits;
    return digits;
}

} // namespace hibiscusferry
