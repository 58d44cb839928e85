#include "peers/transport/peer_links.hpp"

#include <algorithm>

namespace hibiscusferry
{

namespace
{

constexpr std::size_t handshake_nonce_bytes = 32;
/** Handed over to a connection at a time, so that the queue stays short. */
constexpr std::size_t send_window_bytes = 256U << 10;
constexpr std::chrono::milliseconds longest_tick{250};
constexpr std::chrono::milliseconds shortest_tick{5};
constexpr int ticks_per_limit = 4;
constexpr std::chrono::seconds rejection_interval{1};

std::chrono::milliseconds tick_interval_of(const peer_settings& settings)
{
    const std::chrono::milliseconds shortest =
        std::min({settings.probe_after, settings.probe_limit,
                  settings.handshake_limit, settings.first_retry});
    return std::clamp(shortest / ticks_per_limit, shortest_tick, longest_tick);
}

std::string key_of(const peer_identity& identity)
{
    const bool is_reachable = identity.endpoint.port != 0;
    return is_reachable ? identity.endpoint.text() : "id:" + identity.id;
}

} // namespace

peer_transport::implementation::implementation(
    boost::asio::io_context& context, const clock& source,
    event_journal& the_journal, const peer_settings& the_settings)
    : time_source(source)
    , journal(the_journal)
    , settings(the_settings)
    , sockets(context,
              {[this](connection_number number, bool is_accepted)
               { opened(number, is_accepted); },
               [this](connection_number number, const std::string& frame)
               { received(number, frame); },
               [this](connection_number number) { probe_answered(number); },
               [this](connection_number number)
               {
                   closed(number);
               }},
              the_settings.handshake_limit, the_settings.most_connections)
    , timer(context)
    , tick_interval(tick_interval_of(the_settings))
    , random(std::random_device()())
{
}

// ========================================================================
// Messages
// ========================================================================

result<void>
peer_transport::implementation::check(const peer_message& message) const
{
    if (!is_valid_payload(message.payload))
        return make_error_code(peers_error::malformed);
    const peer_envelope widest{settings.self.id,
                               settings.self.incarnation,
                               {INT64_MAX, UINT32_MAX},
                               message};
    if (encode_envelope(widest).size() > greatest_frame_bytes)
        return make_error_code(peers_error::too_large);
    return outcome::success();
}

void peer_transport::implementation::push(remote_process& remote,
                                          peer_message message)
{
    if (remote.queue.push(std::move(message), time_source.now()))
        drops(remote, 1);
    flush(remote);
}

void peer_transport::implementation::flush(remote_process& remote)
{
    const auto found = links.find(remote.active);
    if (found == links.end())
        return;
    while (!remote.queue.empty() &&
           sockets.unsent_bytes(remote.active) < send_window_bytes)
    {
        sockets.send(
            remote.active,
            encode_envelope({settings.self.id, settings.self.incarnation,
                             journal.timestamp(), remote.queue.front()}));
        remote.queue.pop();
        found->second.liveness.message_sent(time_source.now());
        remote.is_drop_told = false;
        ++sent;
    }
}

void peer_transport::implementation::deliver(connection_number number,
                                             const std::string& frame)
{
    peer_link& link = links.at(number);
    const peer_identity sender = link.handshake.remote();
    result<peer_envelope> envelope = decode_envelope(frame);
    if (!envelope)
        return reject(number, envelope.error());
    const bool is_senders = envelope.value().sender == sender.id &&
                            envelope.value().incarnation == sender.incarnation;
    if (!is_senders)
        return reject(number, peers_error::malformed);

    link.liveness.message_received(time_source.now());
    journal.observe(envelope.value().time);
    ++delivered;
    const auto handler = handlers.find(envelope.value().message.type);
    if (handler != handlers.end())
        handler->second({sender, envelope.value().time,
                         std::move(envelope.value().message)});
}

// ========================================================================
// Connections
// ========================================================================

remote_process&
peer_transport::implementation::remote_at(const std::string& key)
{
    const auto found = remotes.find(key);
    if (found != remotes.end())
        return found->second;
    return remotes
        .emplace(key, remote_process{peer_queue(settings.queue_length,
                                                settings.message_lifetime),
                                     retry_pause(settings.first_retry,
                                                 settings.longest_retry)})
        .first->second;
}

peer_link
peer_transport::implementation::make_link(bool is_accepted,
                                          const std::string& key) const
{
    const time_point now = time_source.now();
    const std::string nonce = random_bytes(handshake_nonce_bytes);
    return {is_accepted ? peer_handshake::acceptor(settings.self,
                                                   settings.shared_key, nonce)
                        : peer_handshake::opener(settings.self,
                                                 settings.shared_key, nonce),
            peer_liveness({settings.probe_after, settings.probe_limit,
                           settings.idle_limit},
                          now),
            now, is_accepted, key};
}

void peer_transport::implementation::open_if_due(const std::string& key,
                                                 remote_process& remote)
{
    const bool is_due = remote.opening == 0 && remote.endpoint &&
                        time_source.now() >= remote.next_open;
    if (!is_due)
        return;
    const connection_number number = sockets.open(*remote.endpoint);
    if (number == 0)
    {
        remote.next_open =
            time_source.now() + remote.pause.after_failure(random());
        return;
    }
    remote.opening = number;
    links.emplace(number, make_link(false, key));
}

void peer_transport::implementation::opened(connection_number number,
                                            bool is_accepted)
{
    if (is_accepted)
    {
        links.emplace(number, make_link(true, ""));
        return;
    }
    const auto found = links.find(number);
    if (found != links.end())
        sockets.send(number, found->second.handshake.hello());
}

void peer_transport::implementation::received(connection_number number,
                                              const std::string& frame)
{
    const auto found = links.find(number);
    if (found == links.end())
        return;
    if (found->second.handshake.is_proven())
        deliver(number, frame);
    else
        continue_handshake(number, frame);
}

void peer_transport::implementation::continue_handshake(
    connection_number number, const std::string& frame)
{
    peer_handshake& handshake = links.at(number).handshake;
    const result<std::string> answer = handshake.receive(frame);
    if (!answer)
        return reject(number, answer.error());
    if (!answer.value().empty())
        sockets.send(number, answer.value());
    if (handshake.is_proven())
        proven(number);
}

void peer_transport::implementation::proven(connection_number number)
{
    peer_link& link = links.at(number);
    const peer_identity& identity = link.handshake.remote();
    // A process that reached itself, by a wrong address for example.
    if (identity.id == settings.self.id)
        return close(number);
    if (link.is_accepted)
        link.remote_key = key_of(identity);

    remote_process& remote = remote_at(link.remote_key);
    if (link.is_accepted && identity.endpoint.port != 0)
        remote.endpoint = identity.endpoint;
    if (remote.opening == number)
        remote.opening = 0;
    const connection_number previous = remote.active;
    remote.active = number;
    remote.pause.reset();
    keys_by_id[identity.id] = link.remote_key;
    link.liveness.set_maintained(remote.is_maintained);
    tell(event_number::peer_connected, link);

    const auto old = links.find(previous);
    if (old != links.end())
        old->second.liveness.set_maintained(false);
    if (old != links.end() && old->second.liveness.is_suspect())
        close(previous);
    flush(remote);
}

void peer_transport::implementation::probe_answered(connection_number number)
{
    const auto found = links.find(number);
    if (found != links.end())
        found->second.liveness.probe_answered(time_source.now());
}

void peer_transport::implementation::closed(connection_number number)
{
    const auto found = links.find(number);
    if (found == links.end())
        return;
    const peer_link link = std::move(found->second);
    links.erase(found);
    const bool was_proven = link.handshake.is_proven();
    if (was_proven)
        tell(event_number::peer_disconnected, link);

    const auto owner = remotes.find(link.remote_key);
    if (owner == remotes.end())
        return;
    remote_process& remote = owner->second;
    if (remote.active == number)
        remote.active = spare_link(link.remote_key);
    if (remote.opening == number)
        remote.opening = 0;
    remote.next_open = time_source.now() + remote.pause.after_failure(random());
    const auto key = keys_by_id.find(link.handshake.remote().id);
    const bool is_gone = remote.active == 0 && key != keys_by_id.end() &&
                         key->second == link.remote_key;
    if (is_gone)
        keys_by_id.erase(key);
}

void peer_transport::implementation::close(connection_number number)
{
    sockets.close(number);
    closed(number);
}

void peer_transport::implementation::reject(connection_number number,
                                            const std::error_code& reason)
{
    const time_point now = time_source.now();
    // A stranger must not fill the journal.
    if (now - last_rejection >= rejection_interval)
    {
        last_rejection = now;
        const event_number event = reason == peers_error::not_proven
                                       ? event_number::peer_not_proven
                                       : event_number::peer_frame_malformed;
        journal.record(event, {{"host", links.at(number).handshake.remote().id},
                               {"address", sockets.remote_address(number)},
                               {"reason", reason.message()}});
    }
    close(number);
}

connection_number
peer_transport::implementation::spare_link(const std::string& key) const
{
    for (const auto& [number, link] : links)
    {
        if (link.handshake.is_proven() && link.remote_key == key)
            return number;
    }
    return 0;
}

void peer_transport::implementation::tell(event_number event,
                                          const peer_link& link)
{
    journal.record(event, {{"host", link.handshake.remote().id},
                           {"address", link.handshake.remote().endpoint.text()},
                           {"opened_by", link.is_accepted ? "peer" : "self"}});
}

// ========================================================================
// Time
// ========================================================================

void peer_transport::implementation::start_ticking()
{
    timer.expires_after(tick_interval);
    timer.async_wait(
        [this](const boost::system::error_code& error)
        {
            if (error)
                return;
            tick();
            start_ticking();
        });
}

void peer_transport::implementation::tick()
{
    std::vector<connection_number> numbers;
    for (const auto& [number, link] : links)
        numbers.push_back(number);
    for (const connection_number number : numbers)
        tick_link(number);

    std::vector<std::string> keys;
    for (const auto& [key, remote] : remotes)
        keys.push_back(key);
    for (const std::string& key : keys)
        tick_remote(key);
}

void peer_transport::implementation::tick_link(connection_number number)
{
    const auto found = links.find(number);
    if (found == links.end())
        return;
    peer_link& link = found->second;
    const time_point now = time_source.now();
    if (!link.handshake.is_proven())
    {
        if (now - link.opened_at >= settings.handshake_limit)
            close(number);
        return;
    }

    switch (link.liveness.due(now))
    {
    case liveness_action::none:
        break;
    case liveness_action::probe:
        sockets.probe(number);
        break;
    case liveness_action::suspect:
        tell(event_number::peer_suspect, link);
        remote_at(link.remote_key).next_open = now;
        open_if_due(link.remote_key, remote_at(link.remote_key));
        break;
    case liveness_action::give_up:
    case liveness_action::close_idle:
        close(number);
        break;
    }
}

void peer_transport::implementation::tick_remote(const std::string& key)
{
    remote_process& remote = remotes.at(key);
    const std::size_t expired = remote.queue.drop_expired(time_source.now());
    if (expired > 0)
        drops(remote, expired);
    const bool is_wanted = remote.is_maintained || !remote.queue.empty();
    if (remote.active != 0)
        flush(remote);
    else if (is_wanted)
        open_if_due(key, remote);
    // The pause of one that failed is remembered until it is over.
    const bool is_done = !is_wanted && remote.active == 0 &&
                         remote.opening == 0 &&
                         time_source.now() >= remote.next_open;
    if (is_done)
        remotes.erase(key);
}

void peer_transport::implementation::drops(remote_process& remote,
                                           std::size_t count)
{
    dropped += count;
    if (remote.is_drop_told)
        return;
    remote.is_drop_told = true;
    journal.record(
        event_number::peer_messages_dropped,
        {{"address", remote.endpoint ? remote.endpoint->text() : ""}});
}

} // namespace hibiscusferry
