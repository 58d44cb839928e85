/** @file
    The peers module: messages between the processes of the system.

    Messages are encoded as CBOR and sent over WebSocket connections, on which
    both sides authenticate each other with a shared key. websocketpp and the
    CBOR codec are used only inside the module's single translation unit. All
    classes must be used from the thread that runs the io_context. The module
    depends on foundation.
*/
#ifndef HIBISCUSFERRY_PEERS_PEERS_HPP
#define HIBISCUSFERRY_PEERS_PEERS_HPP

#include "foundation/foundation.hpp"

#include "peers/errors/peers_error.hpp"
#include "peers/message/peer_message.hpp"
#include "peers/transport/peer_settings.hpp"
#include "peers/transport/peer_transport.hpp"

#endif
