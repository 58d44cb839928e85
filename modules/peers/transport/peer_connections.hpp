#ifndef HIBISCUSFERRY_PEERS_TRANSPORT_PEER_CONNECTIONS_HPP
#define HIBISCUSFERRY_PEERS_TRANSPORT_PEER_CONNECTIONS_HPP

#include "peers/authentication/peer_handshake.hpp"
#include "peers/liveness/peer_liveness.hpp"
#include "peers/message/peer_envelope.hpp"
#include "peers/queue/peer_queue.hpp"
#include "peers/queue/reconnect_backoff.hpp"
#include "peers/transport/peer_transport.hpp"
#include "peers/transport/websocket_endpoint.hpp"
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <optional>
#include <random>

// Private to the module: the connections of a transport and its remote peers.

namespace hibiscusferry
{

/** A connection, authenticated or still in its handshake. */
struct peer_connection
{
    peer_handshake handshake;
    peer_liveness liveness;
    time_point opened_at;
    bool is_accepted = false;
    /** The key of its remote_peer; empty for an accepted connection until it
        is authenticated. */
    std::string remote_key;
};

/** A process to which messages are sent. */
struct remote_peer
{
    peer_queue queue;
    reconnect_backoff backoff;
    /** The address for connections to it; empty if the process only opens
        connections. */
    std::optional<peer_endpoint> endpoint;
    bool is_maintained = false;
    /** The authenticated connection in use, or 0. */
    connection_number active = 0;
    /** The connection being opened, or 0. */
    connection_number opening = 0;
    /** The earliest time at which a connection may be opened. */
    time_point next_open;
    /** Whether dropped messages have been reported since the last send. */
    bool is_drop_reported = false;
};

struct peer_transport::implementation
{
    implementation(boost::asio::io_context& context, const clock& source,
                   event_journal& the_journal,
                   const peer_settings& the_settings);

    // ====================================================================
    // Messages

    result<void> check_message(const peer_message& message) const;
    void push(remote_peer& remote, peer_message message);
    void flush(remote_peer& remote);
    void deliver(connection_number number, const std::string& frame);

    // ====================================================================
    // Connections

    remote_peer& find_or_add_remote(const std::string& key);
    void open_if_due(const std::string& key, remote_peer& remote);
    void opened(connection_number number, bool is_accepted);
    void received(connection_number number, const std::string& frame);
    void continue_handshake(connection_number number, const std::string& frame);
    void complete_handshake(connection_number number);
    void probe_response_received(connection_number number);
    void closed(connection_number number);
    void close(connection_number number);
    void reject(connection_number number, const std::error_code& reason);
    /** Returns an authenticated connection of a remote peer, or 0. */
    connection_number
    find_authenticated_connection(const std::string& key) const;
    peer_connection make_connection(bool is_accepted,
                                    const std::string& key) const;
    void record_event(event_number event, const peer_connection& connection);

    // ====================================================================
    // Timers

    void start_ticking();
    void tick();
    void tick_connection(connection_number number);
    void tick_remote(const std::string& key);
    void record_dropped(remote_peer& remote, std::size_t count);

    const clock& time_source;
    event_journal& journal;
    peer_settings settings;
    websocket_endpoint sockets;
    boost::asio::steady_timer timer;
    std::chrono::milliseconds tick_interval;
    std::mt19937_64 random;
    std::map<connection_number, peer_connection> connections;
    std::map<std::string, remote_peer> remotes;
    /** The keys in `remotes` of authenticated peers, by peer id. */
    std::map<std::string, std::string> keys_by_id;
    std::map<std::string, message_handler> handlers;
    time_point last_rejection;
    std::uint64_t sent = 0;
    std::uint64_t delivered = 0;
    std::uint64_t dropped = 0;
};

} // namespace hibiscusferry

#endif
