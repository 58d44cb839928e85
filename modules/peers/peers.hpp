/** @file
    The peers module: messages between the system's own processes.

    CBOR over WebSocket connections on which both ends have proved that they
    know the shared key. websocketpp and the CBOR codec stay inside the
    module's one translation unit. All classes are used from the one thread
    that runs the io_context. Depends on foundation.
*/
#ifndef HIBISCUSFERRY_PEERS_PEERS_HPP
#define HIBISCUSFERRY_PEERS_PEERS_HPP

#include "foundation/foundation.hpp"

#include "peers/errors/peers_error.hpp"
#include "peers/message/peer_message.hpp"
#include "peers/transport/peer_settings.hpp"
#include "peers/transport/peer_transport.hpp"

#endif
