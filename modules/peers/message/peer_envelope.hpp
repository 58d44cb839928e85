#ifndef HIBISCUSFERRY_PEERS_MESSAGE_PEER_ENVELOPE_HPP
#define HIBISCUSFERRY_PEERS_MESSAGE_PEER_ENVELOPE_HPP

#include "peers/errors/peers_error.hpp"
#include "peers/message/peer_message.hpp"

// Private to the module: messages as frames.

namespace hibiscusferry
{

/** The version of the protocol; a process closes connections that speak
    another. */
constexpr std::uint64_t peer_protocol_version = 1;

/** Greatest size of a frame. */
constexpr std::size_t greatest_frame_bytes = 64U << 10;

/** A message with who sent it and when. */
struct peer_envelope
{
    std::string sender;
    std::uint64_t incarnation = 0;
    hybrid_timestamp time;
    peer_message message;
};

/** The frame [version, type, sender, incarnation, wall time in
    microseconds, counter, payload]. */
std::string encode_envelope(const peer_envelope& envelope);

/** Reads a frame; peers_error::malformed or other_version otherwise. */
result<peer_envelope> decode_envelope(std::string_view frame);

} // namespace hibiscusferry

#endif
