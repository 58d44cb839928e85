#include "configuration/replica/document_replica.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace hibiscusferry
{

namespace
{

/** Interval at which the age of the last confirmation is checked. */
constexpr std::chrono::milliseconds store_poll_check_interval{500};
/** Maximum jitter added to max_confirmation_age, so that hosts do not read
    the store simultaneously. */
constexpr std::uint64_t max_poll_jitter_ms = 1000;
/** Maximum number of peers of the region that a host out of rotation queries
    at once. */
constexpr std::size_t max_queries_out_of_rotation = 16;

bool is_in(rotation_state state)
{
    return state == rotation_state::current ||
           state == rotation_state::store_lost;
}

} // namespace

document_replica::document_replica(std::string own_host, std::string region,
                                   std::uint64_t seed,
                                   const replica_limits& limits)
    : own_host_(std::move(own_host))
    , region_(std::move(region))
    , seed_(seed)
    , limits_(limits)
{
}

void document_replica::fleet_changed(const std::vector<fleet_host>& hosts)
{
    peers_.clear();
    region_peers_.clear();
    region_hosts_ = 0;
    for (const fleet_host& host : hosts)
    {
        const bool is_near = host.region == region_;
        region_hosts_ += is_near ? 1 : 0;
        if (host.host == own_host_)
            continue;
        peers_.push_back(host.host);
        if (is_near)
            region_peers_.push_back(host.host);
    }
    for (auto region_reply = last_region_replies_.begin();
         region_reply != last_region_replies_.end();)
    {
        const bool is_listed = std::find(peers_.begin(), peers_.end(),
                                         region_reply->first) != peers_.end();
        region_reply = is_listed ? std::next(region_reply)
                                 : last_region_replies_.erase(region_reply);
    }
}

void document_replica::set_reachable_hosts(std::size_t hosts)
{
    reachable_hosts_ = hosts;
}

document_replica::actions
document_replica::row_read(const std::string& key,
                           const result<table_row>& store_result,
                           time_point now)
{
    actions next_actions;
    if (key == document_index_key)
        index_read(store_result, next_actions);
    else
        document_read(key, store_result, next_actions);
    update_rotation(now, next_actions);
    return next_actions;
}

document_reply document_replica::answer_query(const document_query& query,
                                              time_point now) const
{
    document_reply reply;
    reply.query_id = query.query_id;
    reply.revision = revision_;
    reply.is_started = rotation_ != rotation_state::starting;
    reply.confirmation_age = confirmation_age(now);
    for (const std::pair<const std::string, document_record>& active :
         documents_)
    {
        if (active.second.version > query.revision)
            reply.documents.push_back(active.second);
    }
    std::sort(reply.documents.begin(), reply.documents.end(),
              [](const document_record& left, const document_record& right)
              { return left.version < right.version; });
    std::size_t bytes = 0;
    for (std::size_t index = 0; index < reply.documents.size(); ++index)
    {
        bytes += reply.documents[index].text.size();
        if (index == 0 || bytes <= limits_.max_reply_bytes)
            continue;
        reply.documents.resize(index);
        reply.is_complete = false;
    }
    return reply;
}

document_replica::actions
document_replica::reply_received(const std::string& peer,
                                 const document_reply& reply, time_point now)
{
    actions next_actions;
    const auto query = queries_.find(reply.query_id);
    if (query == queries_.end() || query->second.peer != peer)
        return next_actions;
    const time_point started_at = query->second.started_at;
    queries_.erase(query);
    last_reply_ = now;
    for (const document_record& document : reply.documents)
        apply_document(document, next_actions);
    if (reply.is_complete)
        revision_ = std::max(revision_, reply.revision);
    else if (!reply.documents.empty())
        revision_ = std::max(revision_, reply.documents.back().version);

    if (revision_ < reply.revision)
    {
        send_query_to(peer, now, next_actions);
    }
    else if (reply.is_started)
    {
        // Measured from the start of the query, because the reply may have
        // been delayed.
        last_region_replies_[peer] = started_at;
        if (reply.confirmation_age)
            confirm(started_at - *reply.confirmation_age);
    }
    update_rotation(now, next_actions);
    return next_actions;
}

document_replica::actions document_replica::tick(time_point now)
{
    actions next_actions;
    if (!first_tick_)
        first_tick_ = now;
    for (auto query = queries_.begin(); query != queries_.end();)
    {
        const bool is_old =
            now - query->second.started_at > limits_.response_timeout;
        query = is_old ? queries_.erase(query) : std::next(query);
    }
    if (now >= next_poll_)
        poll_store(now, next_actions);
    if (now >= next_query_)
        query_peers(now, next_actions);
    update_rotation(now, next_actions);
    return next_actions;
}

time_point document_replica::next_wake() const
{
    return std::min(next_poll_, next_query_);
}

document_version document_replica::revision() const
{
    return revision_;
}

const document_record*
document_replica::document(const std::string& service) const
{
    const auto position = documents_.find(service);
    return position == documents_.end() ? nullptr : &position->second;
}

std::optional<std::chrono::milliseconds>
document_replica::confirmation_age(time_point now) const
{
    if (!confirmed_at_)
        return std::nullopt;
    // Rounded up so that the documents never appear more recent than they
    // are.
    return std::chrono::ceil<std::chrono::milliseconds>(now - *confirmed_at_);
}

rotation_state document_replica::rotation() const
{
    return rotation_;
}

bool document_replica::is_in_rotation() const
{
    return is_in(rotation_);
}

void document_replica::poll_store(time_point now, actions& next_actions)
{
    next_poll_ = now + store_poll_check_interval;
    if (index_read_started_at_ || pending_)
        return;
    const std::uint64_t spread =
        combine_hashes(seed_, last_query_) % max_poll_jitter_ms;
    const std::chrono::milliseconds max_confirmation_age =
        limits_.max_confirmation_age + std::chrono::milliseconds(spread);
    if (confirmed_at_ && now - *confirmed_at_ < max_confirmation_age)
        return;
    index_read_started_at_ = now;
    next_actions.emplace_back(read_document_row{document_index_key});
}

void document_replica::index_read(const result<table_row>& store_result,
                                  actions& next_actions)
{
    if (!index_read_started_at_)
        return;
    const time_point started_at = *index_read_started_at_;
    index_read_started_at_.reset();
    document_index index;
    if (store_result)
    {
        const result<document_index> parsed = document_index::parse(
            row_stamp::parse(store_result.value().value).payload);
        if (!parsed)
        {
            next_actions.emplace_back(document_event{
                event_number::document_unreadable, "", 0, document_index_key});
            return;
        }
        index = parsed.value();
    }
    else if (store_result.error() != platform_error::not_found)
    {
        return;
    }
    pending_index pending{index, started_at, {}};
    for (const std::pair<const std::string, document_version>& entry :
         index.versions)
    {
        const document_record* const active = document(entry.first);
        if (active == nullptr || active->version < entry.second)
            pending.missing.insert(entry.first);
    }
    if (pending.missing.empty())
    {
        revision_ = std::max(revision_, index.revision);
        confirm(started_at);
        return;
    }
    for (const std::string& service : pending.missing)
        next_actions.emplace_back(read_document_row{document_key(service)});
    pending_ = std::move(pending);
}

void document_replica::document_read(const std::string& key,
                                     const result<table_row>& store_result,
                                     actions& next_actions)
{
    if (!pending_)
        return;
    const result<document_record> record =
        store_result ? document_record::parse(
                           row_stamp::parse(store_result.value().value).payload)
                     : result<document_record>(store_result.error());
    if (store_result && !record)
    {
        next_actions.emplace_back(
            document_event{event_number::document_unreadable, "", 0, key});
    }
    if (!record)
    {
        // The next read of the index retries.
        pending_.reset();
        return;
    }
    apply_document(record.value(), next_actions);
    pending_->missing.erase(record.value().service);
    if (!pending_->missing.empty())
        return;
    revision_ = std::max(revision_, pending_->index.revision);
    confirm(pending_->started_at);
    pending_.reset();
}

void document_replica::query_peers(time_point now, actions& next_actions)
{
    next_query_ = now + limits_.query_interval;
    if (!is_in(rotation_))
    {
        const std::size_t count =
            std::min(max_queries_out_of_rotation, region_peers_.size());
        for (std::size_t index = 0; index < count; ++index)
        {
            next_region_peer_ = (next_region_peer_ + 1) % region_peers_.size();
            send_query_to(region_peers_[next_region_peer_], now, next_actions);
        }
        return;
    }
    if (peers_.empty())
        return;
    const std::uint64_t choice = combine_hashes(seed_, last_query_);
    send_query_to(peers_[choice % peers_.size()], now, next_actions);
}

void document_replica::send_query_to(const std::string& peer, time_point now,
                                     actions& next_actions)
{
    const std::uint64_t id = ++last_query_;
    queries_[id] = {peer, now};
    next_actions.emplace_back(send_query{peer, {id, revision_}});
}

void document_replica::apply_document(const document_record& document,
                                      actions& next_actions)
{
    document_record& active = documents_[document.service];
    if (document.version <= active.version)
        return;
    active = document;
    next_actions.emplace_back(document_activated{document});
}

void document_replica::confirm(time_point moment)
{
    if (!confirmed_at_ || *confirmed_at_ < moment)
        confirmed_at_ = moment;
}

void document_replica::update_rotation(time_point now, actions& next_actions)
{
    const rotation_state state = next_rotation_state(now);
    if (state == rotation_)
        return;
    rotation_ = state;
    next_actions.emplace_back(rotation_changed{state});
    event_number number = event_number::rotation_entered;
    if (state == rotation_state::store_lost)
        number = event_number::serving_without_store;
    if (state == rotation_state::isolated)
        number = event_number::rotation_left;
    next_actions.emplace_back(document_event{number, "", revision_, own_host_});
}

rotation_state document_replica::next_rotation_state(time_point now) const
{
    const auto is_recent = [this, now](time_point moment)
    {
        return now - moment <= limits_.staleness_bound;
    };
    if (confirmed_at_ && is_recent(*confirmed_at_))
        return rotation_state::current;
    if (!is_in(rotation_))
    {
        return has_replies_from_region_majority(now)
                   ? rotation_state::store_lost
                   : rotation_;
    }
    const bool has_recent_reply =
        peers_.empty() || (last_reply_ && is_recent(*last_reply_));
    const bool can_reach_region_majority = reachable_hosts_ * 2 > region_hosts_;
    return has_recent_reply && can_reach_region_majority
               ? rotation_state::store_lost
               : rotation_state::isolated;
}

bool document_replica::has_replies_from_region_majority(time_point now) const
{
    // A change may count a confirmation from this host's previous incarnation
    // for up to the staleness bound. The host must not serve without the store
    // until that time has passed.
    const bool may_have_prior_confirmation =
        rotation_ == rotation_state::starting &&
        (!first_tick_ || now - *first_tick_ < limits_.staleness_bound +
                                                  limits_.peer_response_window);
    if (may_have_prior_confirmation)
        return false;
    std::size_t reply_count = 0;
    for (const std::string& peer : region_peers_)
    {
        const auto position = last_region_replies_.find(peer);
        const bool is_recent =
            position != last_region_replies_.end() &&
            now - position->second <= limits_.peer_response_window;
        reply_count += is_recent ? 1 : 0;
    }
    return reply_count * 2 > region_hosts_;
}

} // namespace hibiscusferry
