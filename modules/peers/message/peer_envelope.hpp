#ifndef HIBISCUSFERRY_PEERS_MESSAGE_PEER_ENVELOPE_HPP
#define HIBISCUSFERRY_PEERS_MESSAGE_PEER_ENVELOPE_HPP

#include "peers/errors/peers_error.hpp"
#include "peers/message/peer_message.hpp"

// Private to the module: encoding of messages as frames.

namespace hibiscusferry
{

/** Protocol version. A process closes connections that use another
    version. */
constexpr std::uint64_t peer_protocol_version = 1;

constexpr std::size_t max_frame_bytes = 64U << 10;

/** A message with its sender and send time. */
struct peer_envelope
{
    std::string sender;
    std::uint64_t incarnation = 0;
    hybrid_timestamp time;
    peer_message message;
};

/** Encodes an envelope as the frame [version, type, sender, incarnation,
    wall time in microseconds, counter, payload]. */
std::string encode_envelope(const peer_envelope& envelope);

/** Decodes a frame.
    @returns the envelope, peers_error::malformed or
             peers_error::version_mismatch */
result<peer_envelope> decode_envelope(std::string_view frame);

} // namespace hibiscusferry

#endif
