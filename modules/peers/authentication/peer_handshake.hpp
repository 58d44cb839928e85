#ifndef HIBISCUSFERRY_PEERS_AUTHENTICATION_PEER_HANDSHAKE_HPP
#define HIBISCUSFERRY_PEERS_AUTHENTICATION_PEER_HANDSHAKE_HPP

#include "peers/errors/peers_error.hpp"
#include "peers/message/peer_message.hpp"
#include <string>
#include <string_view>

// Private to the module: mutual authentication of two processes.

namespace hibiscusferry
{

/** One side of the mutual authentication at the start of a connection.

    The opener of the connection sends a hello with a nonce. The acceptor
    responds with a challenge that contains its own nonce and its proof. The
    opener then sends its proof. A proof is the HMAC-SHA256, under the shared
    key, of the side's role, both nonces and both identities, so it is valid
    only for this connection, this direction and these two processes. The
    class performs no I/O.
*/
class peer_handshake
{
public:
    /** Creates the side that opened the connection.
        @param nonce  32 bytes that have never been used before */
    static peer_handshake opener(peer_identity self, std::string key,
                                 std::string nonce);

    /** Creates the side that accepted the connection.
        @param nonce  32 bytes that have never been used before */
    static peer_handshake acceptor(peer_identity self, std::string key,
                                   std::string nonce);

    /** Returns the first frame, which the opener sends. */
    std::string hello() const;

    /** Processes the next frame from the remote side.
        @returns the frame to send in response; empty if there is none */
    result<std::string> receive(std::string_view frame);

    /** Returns whether the remote side has proved that it knows the key. */
    bool is_authenticated() const;

    /** Returns the identity that the remote side claims. It can be trusted
        only once is_authenticated() returns true. */
    const peer_identity& remote() const;

private:
    enum class step
    {
        wait_for_hello,
        wait_for_challenge,
        wait_for_proof,
        authenticated
    };

    peer_handshake(step first, peer_identity self, std::string key,
                   std::string nonce);

    result<std::string> receive_hello(std::string_view frame);
    result<std::string> receive_challenge(std::string_view frame);
    result<std::string> receive_proof(std::string_view frame);

    /** Computes the proof of the opener or of the acceptor. */
    std::string proof(bool is_opener_proof) const;

    step step_;
    bool is_opener_;
    peer_identity self_;
    std::string key_;
    std::string nonce_;
    peer_identity remote_;
    std::string remote_nonce_;
};

/** Returns cryptographically secure random bytes. */
std::string random_bytes(std::size_t count);

} // namespace hibiscusferry

#endif
