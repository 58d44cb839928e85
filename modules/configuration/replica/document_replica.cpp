#include "configuration/replica/document_replica.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace hibiscusferry
{

namespace
{

/** How often it is looked whether the store is to be read. */
constexpr std::chrono::milliseconds poll_check_interval{500};
/** Widest spread of the moments at which hosts read the store. */
constexpr std::uint64_t poll_spread_ms = 1000;
/** Peers of the region asked at once by a host that is out of rotation. */
constexpr std::size_t queries_while_out = 16;

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
    for (auto heard = heard_hosts_.begin(); heard != heard_hosts_.end();)
    {
        const bool is_listed = std::find(peers_.begin(), peers_.end(),
                                         heard->first) != peers_.end();
        heard = is_listed ? std::next(heard) : heard_hosts_.erase(heard);
    }
}

void document_replica::set_reachable_hosts(std::size_t hosts)
{
    reachable_ = hosts;
}

document_replica::actions
document_replica::row_read(const std::string& key,
                           const result<table_row>& answer, time_point now)
{
    actions wanted;
    if (key == document_index_key)
        index_read(answer, wanted);
    else
        document_read(key, answer, wanted);
    judge_rotation(now, wanted);
    return wanted;
}

document_reply document_replica::answer_query(const document_query& query,
                                              time_point now) const
{
    document_reply reply;
    reply.query_id = query.query_id;
    reply.revision = revision_;
    reply.is_started = rotation_ != rotation_state::starting;
    reply.confirmation_age = confirmation_age(now);
    for (const std::pair<const std::string, document_record>& held : documents_)
    {
        if (held.second.version > query.revision)
            reply.documents.push_back(held.second);
    }
    std::sort(reply.documents.begin(), reply.documents.end(),
              [](const document_record& left, const document_record& right)
              { return left.version < right.version; });
    std::size_t bytes = 0;
    for (std::size_t index = 0; index < reply.documents.size(); ++index)
    {
        bytes += reply.documents[index].text.size();
        if (index == 0 || bytes <= limits_.reply_bytes)
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
    actions wanted;
    const auto query = queries_.find(reply.query_id);
    if (query == queries_.end() || query->second.peer != peer)
        return wanted;
    const time_point begun = query->second.begun;
    queries_.erase(query);
    last_reply_ = now;
    for (const document_record& document : reply.documents)
        take(document, wanted);
    if (reply.is_complete)
        revision_ = std::max(revision_, reply.revision);
    else if (!reply.documents.empty())
        revision_ = std::max(revision_, reply.documents.back().version);

    if (revision_ < reply.revision)
    {
        send_query_to(peer, now, wanted);
    }
    else if (reply.is_started)
    {
        // As of the question: the answer may have been long under way.
        heard_hosts_[peer] = begun;
        if (reply.confirmation_age)
            confirm(begun - *reply.confirmation_age);
    }
    judge_rotation(now, wanted);
    return wanted;
}

document_replica::actions document_replica::tick(time_point now)
{
    actions wanted;
    if (!first_tick_)
        first_tick_ = now;
    for (auto query = queries_.begin(); query != queries_.end();)
    {
        const bool is_old = now - query->second.begun > limits_.answer_time;
        query = is_old ? queries_.erase(query) : std::next(query);
    }
    if (now >= next_poll_)
        poll_store(now, wanted);
    if (now >= next_query_)
        query_peers(now, wanted);
    judge_rotation(now, wanted);
    return wanted;
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
    const auto found = documents_.find(service);
    return found == documents_.end() ? nullptr : &found->second;
}

std::optional<std::chrono::milliseconds>
document_replica::confirmation_age(time_point now) const
{
    if (!confirmed_at_)
        return std::nullopt;
    // Rounded up, so that no host believes itself more current than it is.
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

void document_replica::poll_store(time_point now, actions& wanted)
{
    next_poll_ = now + poll_check_interval;
    if (index_read_begun_ || pending_)
        return;
    const std::uint64_t spread =
        combine_hashes(seed_, last_query_) % poll_spread_ms;
    const std::chrono::milliseconds poll_age =
        limits_.poll_age + std::chrono::milliseconds(spread);
    if (confirmed_at_ && now - *confirmed_at_ < poll_age)
        return;
    index_read_begun_ = now;
    wanted.emplace_back(read_document_row{document_index_key});
}

void document_replica::index_read(const result<table_row>& answer,
                                  actions& wanted)
{
    if (!index_read_begun_)
        return;
    const time_point begun = *index_read_begun_;
    index_read_begun_.reset();
    document_index index;
    if (answer)
    {
        const result<document_index> found = document_index::parse(
            row_stamp::parse(answer.value().value).payload);
        if (!found)
        {
            wanted.emplace_back(document_event{
                event_number::document_unreadable, "", 0, document_index_key});
            return;
        }
        index = found.value();
    }
    else if (answer.error() != platform_error::not_found)
    {
        return;
    }
    pending_index pending{index, begun, {}};
    for (const std::pair<const std::string, document_version>& entry :
         index.versions)
    {
        const document_record* const held = document(entry.first);
        if (held == nullptr || held->version < entry.second)
            pending.missing.insert(entry.first);
    }
    if (pending.missing.empty())
    {
        revision_ = std::max(revision_, index.revision);
        confirm(begun);
        return;
    }
    for (const std::string& service : pending.missing)
        wanted.emplace_back(read_document_row{document_key(service)});
    pending_ = std::move(pending);
}

void document_replica::document_read(const std::string& key,
                                     const result<table_row>& answer,
                                     actions& wanted)
{
    if (!pending_)
        return;
    const result<document_record> record =
        answer ? document_record::parse(
                     row_stamp::parse(answer.value().value).payload)
               : result<document_record>(answer.error());
    if (answer && !record)
    {
        wanted.emplace_back(
            document_event{event_number::document_unreadable, "", 0, key});
    }
    if (!record)
    {
        // The next reading of the index tries again.
        pending_.reset();
        return;
    }
    take(record.value(), wanted);
    pending_->missing.erase(record.value().service);
    if (!pending_->missing.empty())
        return;
    revision_ = std::max(revision_, pending_->index.revision);
    confirm(pending_->begun);
    pending_.reset();
}

void document_replica::query_peers(time_point now, actions& wanted)
{
    next_query_ = now + limits_.query_interval;
    if (!is_in(rotation_))
    {
        const std::size_t count =
            std::min(queries_while_out, region_peers_.size());
        for (std::size_t index = 0; index < count; ++index)
        {
            next_region_peer_ = (next_region_peer_ + 1) % region_peers_.size();
            send_query_to(region_peers_[next_region_peer_], now, wanted);
        }
        return;
    }
    if (peers_.empty())
        return;
    const std::uint64_t choice = combine_hashes(seed_, last_query_);
    send_query_to(peers_[choice % peers_.size()], now, wanted);
}

void document_replica::send_query_to(const std::string& peer, time_point now,
                                     actions& wanted)
{
    const std::uint64_t id = ++last_query_;
    queries_[id] = {peer, now};
    wanted.emplace_back(send_query{peer, {id, revision_}});
}

void document_replica::take(const document_record& document, actions& wanted)
{
    document_record& held = documents_[document.service];
    if (document.version <= held.version)
        return;
    held = document;
    wanted.emplace_back(document_activated{document});
}

void document_replica::confirm(time_point moment)
{
    if (!confirmed_at_ || *confirmed_at_ < moment)
        confirmed_at_ = moment;
}

void document_replica::judge_rotation(time_point now, actions& wanted)
{
    const rotation_state state = judged_rotation(now);
    if (state == rotation_)
        return;
    rotation_ = state;
    wanted.emplace_back(rotation_changed{state});
    event_number number = event_number::rotation_entered;
    if (state == rotation_state::store_lost)
        number = event_number::serving_without_store;
    if (state == rotation_state::out_of_touch)
        number = event_number::rotation_left;
    wanted.emplace_back(document_event{number, "", revision_, own_host_});
}

rotation_state document_replica::judged_rotation(time_point now) const
{
    const auto is_recent = [this, now](time_point moment)
    {
        return now - moment <= limits_.staleness_bound;
    };
    if (confirmed_at_ && is_recent(*confirmed_at_))
        return rotation_state::current;
    if (!is_in(rotation_))
    {
        return has_heard_most_of_region(now) ? rotation_state::store_lost
                                             : rotation_;
    }
    const bool hears_peers =
        peers_.empty() || (last_reply_ && is_recent(*last_reply_));
    const bool is_most_of_region = reachable_ * 2 > region_hosts_;
    return hears_peers && is_most_of_region ? rotation_state::store_lost
                                            : rotation_state::out_of_touch;
}

bool document_replica::has_heard_most_of_region(time_point now) const
{
    // Operators' changes count a confirmation for as long as the bound. One
    // given by the process before this must not count any more.
    const bool may_be_counted_on =
        rotation_ == rotation_state::starting &&
        (!first_tick_ ||
         now - *first_tick_ < limits_.staleness_bound + limits_.hearing_window);
    if (may_be_counted_on)
        return false;
    std::size_t heard = 0;
    for (const std::string& peer : region_peers_)
    {
        const auto found = heard_hosts_.find(peer);
        const bool is_recent = found != heard_hosts_.end() &&
                               now - found->second <= limits_.hearing_window;
        heard += is_recent ? 1 : 0;
    }
    return heard * 2 > region_hosts_;
}

} // namespace hibiscusferry
