#ifndef HIBISCUSFERRY_PEERS_TRANSPORT_PEER_SETTINGS_HPP
#define HIBISCUSFERRY_PEERS_TRANSPORT_PEER_SETTINGS_HPP

#include "peers/message/peer_message.hpp"
#include <chrono>
#include <cstddef>
#include <optional>
#include <string>

namespace hibiscusferry
{

/** How a process reaches its peers. */
struct peer_settings
{
    /** Who this process is; with port 0 the endpoint is where it listens. */
    peer_identity self;
    /** Where to listen, port 0 for a free one; none: only opens
        connections. */
    std::optional<peer_endpoint> listen;
    /** Known to all processes of the system; at least 16 bytes. */
    std::string shared_key;

    /** For a new connection to be proven. */
    std::chrono::milliseconds handshake_limit{5000};
    /** A message that nothing came back for is followed by a probe after
        this time; so is silence on a connection that is maintained. */
    std::chrono::milliseconds probe_after{2000};
    /** For a probe to be answered before the connection is suspect. */
    std::chrono::milliseconds probe_limit{2000};
    /** A connection that is not maintained is closed after this time without
        a message. */
    std::chrono::milliseconds idle_limit{60000};
    /** The first pause before a connection is opened again; it doubles with
        each failure, and a random part of up to half is taken off. */
    std::chrono::milliseconds first_retry{200};
    std::chrono::milliseconds longest_retry{10000};
    /** A message that could not be sent for this long is dropped. */
    std::chrono::milliseconds message_lifetime{5000};
    /** Messages that wait for one peer; the oldest is dropped for a new
        one. */
    std::size_t queue_length = 64;
    /** Open connections, proven or not; others are turned away. */
    std::size_t most_connections = 1024;
};

} // namespace hibiscusferry

#endif
