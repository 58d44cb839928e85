#ifndef HIBISCUSFERRY_PEERS_TRANSPORT_PEER_LINKS_HPP
#define HIBISCUSFERRY_PEERS_TRANSPORT_PEER_LINKS_HPP

#include "peers/authentication/peer_handshake.hpp"
#include "peers/liveness/peer_liveness.hpp"
#include "peers/message/peer_envelope.hpp"
#include "peers/queue/peer_queue.hpp"
#include "peers/queue/retry_pause.hpp"
#include "peers/transport/peer_transport.hpp"
#include "peers/transport/websocket_endpoint.hpp"
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <optional>
#include <random>

// Private to the module: the connections of a transport and what they serve.

namespace hibiscusferry
{

/** One connection, proven or not yet. */
struct peer_link
{
    peer_handshake handshake;
    peer_liveness liveness;
    time_point opened_at;
    bool is_accepted = false;
    /** The remote_process that it serves; empty for an accepted connection
        that is not proven yet. */
    std::string remote_key;
};

/** One process that messages go to. */
struct remote_process
{
    peer_queue queue;
    retry_pause pause;
    /** Where it can be reached; none when it only opens connections. */
    std::optional<peer_endpoint> endpoint;
    bool is_maintained = false;
    /** The proven connection in use, or 0. */
    connection_number active = 0;
    /** The connection being opened, or 0. */
    connection_number opening = 0;
    /** No connection is opened before. */
    time_point next_open;
    /** Whether drops were told since messages last went out. */
    bool is_drop_told = false;
};

struct peer_transport::implementation
{
    implementation(boost::asio::io_context& context, const clock& source,
                   event_journal& the_journal,
                   const peer_settings& the_settings);

    // Messages.
    result<void> check(const peer_message& message) const;
    void push(remote_process& remote, peer_message message);
    void flush(remote_process& remote);
    void deliver(connection_number number, const std::string& frame);

    // Connections.
    remote_process& remote_at(const std::string& key);
    void open_if_due(const std::string& key, remote_process& remote);
    void opened(connection_number number, bool is_accepted);
    void received(connection_number number, const std::string& frame);
    void continue_handshake(connection_number number, const std::string& frame);
    void proven(connection_number number);
    void probe_answered(connection_number number);
    void closed(connection_number number);
    void close(connection_number number);
    void reject(connection_number number, const std::error_code& reason);
    /** Another proven connection of a remote, or 0. */
    connection_number spare_link(const std::string& key) const;
    peer_link make_link(bool is_accepted, const std::string& key) const;
    void tell(event_number event, const peer_link& link);

    // Time.
    void start_ticking();
    void tick();
    void tick_link(connection_number number);
    void tick_remote(const std::string& key);
    void drops(remote_process& remote, std::size_t count);

    const clock& time_source;
    event_journal& journal;
    peer_settings settings;
    websocket_endpoint sockets;
    boost::asio::steady_timer timer;
    std::chrono::milliseconds tick_interval;
    std::mt19937_64 random;
    std::map<connection_number, peer_link> links;
    std::map<std::string, remote_process> remotes;
    /** The remotes of proven peers by their ids. */
    std::map<std::string, std::string> keys_by_id;
    std::map<std::string, message_handler> handlers;
    time_point last_rejection;
    std::uint64_t sent = 0;
    std::uint64_t delivered = 0;
    std::uint64_t dropped = 0;
};

} // namespace hibiscusferry

#endif
