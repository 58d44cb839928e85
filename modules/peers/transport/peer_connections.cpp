#include "peers/transport/peer_connections.hpp"

#include <algorithm>

namespace hibiscusferry
{

namespace
{

constexpr std::size_t handshake_nonce_bytes = 32;
/** Maximum number of unsent bytes in a connection before further messages are
    held back, which keeps its send queue short. */
constexpr std::size_t send_window_bytes = 256U << 10;
constexpr std::chrono::milliseconds max_tick_interval{250};
constexpr std::chrono::milliseconds min_tick_interval{5};
constexpr int ticks_per_timeout = 4;
constexpr std::chrono::seconds rejection_interval{1};

std::chrono::milliseconds tick_interval_for(const peer_settings& settings)
{
    const std::chrono::milliseconds shortest_timeout =
        std::min({settings.probe_delay, settings.probe_timeout,
                  settings.handshake_timeout, settings.initial_retry_delay});
    return std::clamp(shortest_timeout / ticks_per_timeout, min_tick_interval,
                      max_tick_interval);
}

std::string remote_key_for(const peer_identity& identity)
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
               [this](connection_number number)
               { probe_response_received(number); },
               [this](connection_number number)
               {
                   closed(number);
               }},
              the_settings.handshake_timeout, the_settings.max_connections)
    , timer(context)
    , tick_interval(tick_interval_for(the_settings))
    , random(std::random_device()())
{
}

// ========================================================================
// Messages
// ========================================================================

result<void>
peer_transport::implementation::check_message(const peer_message& message) const
{
    if (!is_valid_payload(message.payload))
        return make_error_code(peers_error::malformed);
    const peer_envelope largest_envelope{settings.self.id,
                                         settings.self.incarnation,
                                         {INT64_MAX, UINT32_MAX},
                                         message};
    if (encode_envelope(largest_envelope).size() > max_frame_bytes)
        return make_error_code(peers_error::too_large);
    return outcome::success();
}

void peer_transport::implementation::push(remote_peer& remote,
                                          peer_message message)
{
    if (remote.queue.push(std::move(message), time_source.now()))
        record_dropped(remote, 1);
    flush(remote);
}

void peer_transport::implementation::flush(remote_peer& remote)
{
    const auto entry = connections.find(remote.active);
    if (entry == connections.end())
        return;
    while (!remote.queue.empty() &&
           sockets.unsent_bytes(remote.active) < send_window_bytes)
    {
        sockets.send(
            remote.active,
            encode_envelope({settings.self.id, settings.self.incarnation,
                             journal.timestamp(), remote.queue.front()}));
        remote.queue.pop();
        entry->second.liveness.message_sent(time_source.now());
        remote.is_drop_reported = false;
        ++sent;
    }
}

void peer_transport::implementation::deliver(connection_number number,
                                             const std::string& frame)
{
    peer_connection& connection = connections.at(number);
    const peer_identity sender = connection.handshake.remote();
    result<peer_envelope> envelope = decode_envelope(frame);
    if (!envelope)
        return reject(number, envelope.error());
    const bool is_from_peer =
        envelope.value().sender == sender.id &&
        envelope.value().incarnation == sender.incarnation;
    if (!is_from_peer)
        return reject(number, peers_error::malformed);

    connection.liveness.message_received(time_source.now());
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

remote_peer&
peer_transport::implementation::find_or_add_remote(const std::string& key)
{
    const auto entry = remotes.find(key);
    if (entry != remotes.end())
        return entry->second;
    return remotes
        .emplace(key,
                 remote_peer{peer_queue(settings.queue_length,
                                        settings.message_lifetime),
                             reconnect_backoff(settings.initial_retry_delay,
                                               settings.max_retry_delay)})
        .first->second;
}

peer_connection
peer_transport::implementation::make_connection(bool is_accepted,
                                                const std::string& key) const
{
    const time_point now = time_source.now();
    const std::string nonce = random_bytes(handshake_nonce_bytes);
    return {is_accepted ? peer_handshake::acceptor(settings.self,
                                                   settings.shared_key, nonce)
                        : peer_handshake::opener(settings.self,
                                                 settings.shared_key, nonce),
            peer_liveness({settings.probe_delay, settings.probe_timeout,
                           settings.idle_timeout},
                          now),
            now, is_accepted, key};
}

void peer_transport::implementation::open_if_due(const std::string& key,
                                                 remote_peer& remote)
{
    const bool is_due = remote.opening == 0 && remote.endpoint &&
                        time_source.now() >= remote.next_open;
    if (!is_due)
        return;
    const connection_number number = sockets.open(*remote.endpoint);
    if (number == 0)
    {
        remote.next_open =
            time_source.now() + remote.backoff.next_delay(random());
        return;
    }
    remote.opening = number;
    connections.emplace(number, make_connection(false, key));
}

void peer_transport::implementation::opened(connection_number number,
                                            bool is_accepted)
{
    if (is_accepted)
    {
        connections.emplace(number, make_connection(true, ""));
        return;
    }
    const auto entry = connections.find(number);
    if (entry != connections.end())
        sockets.send(number, entry->second.handshake.hello());
}

void peer_transport::implementation::received(connection_number number,
                                              const std::string& frame)
{
    const auto entry = connections.find(number);
    if (entry == connections.end())
        return;
    if (entry->second.handshake.is_authenticated())
        deliver(number, frame);
    else
        continue_handshake(number, frame);
}

void peer_transport::implementation::continue_handshake(
    connection_number number, const std::string& frame)
{
    peer_handshake& handshake = connections.at(number).handshake;
    const result<std::string> response = handshake.receive(frame);
    if (!response)
        return reject(number, response.error());
    if (!response.value().empty())
        sockets.send(number, response.value());
    if (handshake.is_authenticated())
        complete_handshake(number);
}

void peer_transport::implementation::complete_handshake(
    connection_number number)
{
    peer_connection& connection = connections.at(number);
    const peer_identity& identity = connection.handshake.remote();
    // The process has connected to itself, for example because of a wrong
    // address.
    if (identity.id == settings.self.id)
        return close(number);
    if (connection.is_accepted)
        connection.remote_key = remote_key_for(identity);

    remote_peer& remote = find_or_add_remote(connection.remote_key);
    if (connection.is_accepted && identity.endpoint.port != 0)
        remote.endpoint = identity.endpoint;
    if (remote.opening == number)
        remote.opening = 0;
    const connection_number previous_number = remote.active;
    remote.active = number;
    remote.backoff.reset();
    keys_by_id[identity.id] = connection.remote_key;
    connection.liveness.set_maintained(remote.is_maintained);
    record_event(event_number::peer_connected, connection);

    const auto previous_connection = connections.find(previous_number);
    if (previous_connection != connections.end())
        previous_connection->second.liveness.set_maintained(false);
    if (previous_connection != connections.end() &&
        previous_connection->second.liveness.is_suspect())
        close(previous_number);
    flush(remote);
}

void peer_transport::implementation::probe_response_received(
    connection_number number)
{
    const auto entry = connections.find(number);
    if (entry != connections.end())
        entry->second.liveness.probe_response_received(time_source.now());
}

void peer_transport::implementation::closed(connection_number number)
{
    const auto entry = connections.find(number);
    if (entry == connections.end())
        return;
    const peer_connection connection = std::move(entry->second);
    connections.erase(entry);
    const bool was_authenticated = connection.handshake.is_authenticated();
    if (was_authenticated)
        record_event(event_number::peer_disconnected, connection);

    const auto remote_entry = remotes.find(connection.remote_key);
    if (remote_entry == remotes.end())
        return;
    remote_peer& remote = remote_entry->second;
    if (remote.active == number)
        remote.active = find_authenticated_connection(connection.remote_key);
    if (remote.opening == number)
        remote.opening = 0;
    remote.next_open = time_source.now() + remote.backoff.next_delay(random());
    const auto key = keys_by_id.find(connection.handshake.remote().id);
    const bool is_disconnected = remote.active == 0 &&
                                 key != keys_by_id.end() &&
                                 key->second == connection.remote_key;
    if (is_disconnected)
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
    // Rate limit the events, so that an unauthenticated client cannot fill the
    // journal.
    if (now - last_rejection >= rejection_interval)
    {
        last_rejection = now;
        const event_number event = reason == peers_error::not_authenticated
                                       ? event_number::peer_not_proven
                                       : event_number::peer_frame_malformed;
        journal.record(event,
                       {{"host", connections.at(number).handshake.remote().id},
                        {"address", sockets.remote_address(number)},
                        {"reason", reason.message()}});
    }
    close(number);
}

connection_number peer_transport::implementation::find_authenticated_connection(
    const std::string& key) const
{
    for (const auto& [number, connection] : connections)
    {
        if (connection.handshake.is_authenticated() &&
            connection.remote_key == key)
            return number;
    }
    return 0;
}

void peer_transport::implementation::record_event(
    event_number event, const peer_connection& connection)
{
    journal.record(event,
                   {{"host", connection.handshake.remote().id},
                    {"address", connection.handshake.remote().endpoint.text()},
                    {"opened_by", connection.is_accepted ? "peer" : "self"}});
}

// ========================================================================
// Timers
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
    for (const auto& [number, connection] : connections)
        numbers.push_back(number);
    for (const connection_number number : numbers)
        tick_connection(number);

    std::vector<std::string> keys;
    for (const auto& [key, remote] : remotes)
        keys.push_back(key);
    for (const std::string& key : keys)
        tick_remote(key);
}

void peer_transport::implementation::tick_connection(connection_number number)
{
    const auto entry = connections.find(number);
    if (entry == connections.end())
        return;
    peer_connection& connection = entry->second;
    const time_point now = time_source.now();
    if (!connection.handshake.is_authenticated())
    {
        if (now - connection.opened_at >= settings.handshake_timeout)
            close(number);
        return;
    }

    switch (connection.liveness.next_action(now))
    {
    case liveness_action::none:
        break;
    case liveness_action::probe:
        sockets.probe(number);
        break;
    case liveness_action::suspect:
        record_event(event_number::peer_suspect, connection);
        find_or_add_remote(connection.remote_key).next_open = now;
        open_if_due(connection.remote_key,
                    find_or_add_remote(connection.remote_key));
        break;
    case liveness_action::close_unresponsive:
    case liveness_action::close_idle:
        close(number);
        break;
    }
}

void peer_transport::implementation::tick_remote(const std::string& key)
{
    remote_peer& remote = remotes.at(key);
    const std::size_t expired = remote.queue.drop_expired(time_source.now());
    if (expired > 0)
        record_dropped(remote, expired);
    const bool is_needed = remote.is_maintained || !remote.queue.empty();
    if (remote.active != 0)
        flush(remote);
    else if (is_needed)
        open_if_due(key, remote);
    // After a failure the peer is kept until its backoff has elapsed.
    const bool is_unused = !is_needed && remote.active == 0 &&
                           remote.opening == 0 &&
                           time_source.now() >= remote.next_open;
    if (is_unused)
        remotes.erase(key);
}

void peer_transport::implementation::record_dropped(remote_peer& remote,
                                                    std::size_t count)
{
    dropped += count;
    if (remote.is_drop_reported)
        return;
    remote.is_drop_reported = true;
    journal.record(
        event_number::peer_messages_dropped,
        {{"address", remote.endpoint ? remote.endpoint->text() : ""}});
}

} // namespace hibiscusferry
