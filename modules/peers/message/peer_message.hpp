#ifndef HIBISCUSFERRY_PEERS_MESSAGE_PEER_MESSAGE_HPP
#define HIBISCUSFERRY_PEERS_MESSAGE_PEER_MESSAGE_HPP

#include "foundation/foundation.hpp"
#include <cstdint>
#include <string>
#include <string_view>

namespace hibiscusferry
{

/** Where a process listens for its peers. */
struct peer_endpoint
{
    /** An IP number. */
    std::string address;
    std::uint16_t port = 0;

    /** "ADDRESS:PORT". */
    std::string text() const;
};

bool operator==(const peer_endpoint& left, const peer_endpoint& right);

/** Who a process is. */
struct peer_identity
{
    /** Unique among the processes that are up. */
    std::string id;
    /** Greater after each restart under the same id. */
    std::uint64_t incarnation = 0;
    /** Where it can be reached; port 0 when it only opens connections. */
    peer_endpoint endpoint;
};

/** A message to another process. */
struct peer_message
{
    /** Tells the module that understands it, such as "membership". */
    std::string type;
    /** One well-formed CBOR value. */
    std::string payload;
};

/** A message as it arrived from a proven peer. */
struct received_peer_message
{
    peer_identity sender;
    /** When it was sent, by the sender's hybrid logical clock. */
    hybrid_timestamp time;
    peer_message message;
};

/** Greatest depth of arrays and maps in a payload. */
constexpr std::size_t greatest_payload_depth = 16;

/** Whether the bytes are one well-formed CBOR value that is no deeper than
    greatest_payload_depth. Payloads that arrive were checked. */
bool is_valid_payload(std::string_view bytes);

} // namespace hibiscusferry

#endif
