#ifndef HIBISCUSFERRY_PEERS_MESSAGE_PEER_MESSAGE_HPP
#define HIBISCUSFERRY_PEERS_MESSAGE_PEER_MESSAGE_HPP

#include "foundation/foundation.hpp"
#include <cstdint>
#include <string>
#include <string_view>

namespace hibiscusferry
{

/** The address at which a process accepts connections from peers. */
struct peer_endpoint
{
    /** An IP address. */
    std::string address;
    std::uint16_t port = 0;

    /** Returns "ADDRESS:PORT". */
    std::string text() const;
};

bool operator==(const peer_endpoint& left, const peer_endpoint& right);

/** The identity of a process. */
struct peer_identity
{
    /** Unique among the running processes. */
    std::string id;
    /** Increases with each restart under the same id. */
    std::uint64_t incarnation = 0;
    /** The address for connections to it. The port is 0 if the process only
        opens connections. */
    peer_endpoint endpoint;
};

/** A message to another process. */
struct peer_message
{
    /** Selects the handler of the message, for example "membership". */
    std::string type;
    /** One well-formed CBOR value. */
    std::string payload;
};

/** A message received from an authenticated peer. */
struct received_peer_message
{
    peer_identity sender;
    /** Send time by the sender's hybrid logical clock. */
    hybrid_timestamp time;
    peer_message message;
};

/** Maximum nesting depth of arrays and maps in a payload. */
constexpr std::size_t max_payload_depth = 16;

/** Returns whether the bytes are one well-formed CBOR value whose nesting is
    no deeper than max_payload_depth. Received payloads have already been
    checked. */
bool is_valid_payload(std::string_view bytes);

} // namespace hibiscusferry

#endif
