#ifndef HIBISCUSFERRY_PEERS_TRANSPORT_PEER_SETTINGS_HPP
#define HIBISCUSFERRY_PEERS_TRANSPORT_PEER_SETTINGS_HPP

#include "peers/message/peer_message.hpp"
#include <chrono>
#include <cstddef>
#include <optional>
#include <string>

namespace hibiscusferry
{

/** Settings of a peer_transport. */
struct peer_settings
{
    /** The identity of this process. If its port is 0, the endpoint is replaced
        by the address on which the transport listens. */
    peer_identity self;
    /** The address to listen on; port 0 selects a free port. If empty, the
        transport only opens connections. */
    std::optional<peer_endpoint> listen;
    /** The key shared by all processes of the system; at least 16 bytes. */
    std::string shared_key;

    /** Maximum time until a new connection is authenticated. */
    std::chrono::milliseconds handshake_timeout{5000};
    /** A probe is sent when nothing has been received for this time after a
        message was sent, or on a maintained connection. */
    std::chrono::milliseconds probe_delay{2000};
    /** Maximum response time of a probe, after which the connection is
        suspected. After twice this time it is closed. */
    std::chrono::milliseconds probe_timeout{2000};
    /** A connection that is not maintained is closed when no message has been
        sent or received for this time. */
    std::chrono::milliseconds idle_timeout{60000};
    /** Initial delay before a connection is reopened. The delay doubles with
        each failure up to max_retry_delay, and a random jitter of up to half
        of it is subtracted. */
    std::chrono::milliseconds initial_retry_delay{200};
    std::chrono::milliseconds max_retry_delay{10000};
    /** A message that has been queued for this time is dropped. */
    std::chrono::milliseconds message_lifetime{5000};
    /** Maximum number of messages queued for a peer. When the queue is full, a
        new message evicts the oldest one. */
    std::size_t queue_length = 64;
    /** Maximum number of open connections, authenticated or not. Further
        connections are rejected. */
    std::size_t max_connections = 1024;
};

} // namespace hibiscusferry

#endif
