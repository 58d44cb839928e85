#ifndef HIBISCUSFERRY_PEERS_AUTHENTICATION_PEER_HANDSHAKE_HPP
#define HIBISCUSFERRY_PEERS_AUTHENTICATION_PEER_HANDSHAKE_HPP

#include "peers/errors/peers_error.hpp"
#include "peers/message/peer_message.hpp"
#include <string>
#include <string_view>

// Private to the module: how two processes prove that they belong together.

namespace hibiscusferry
{

/** The proof at the beginning of a connection, one side of it.

    The side that opened the connection sends a hello with a nonce; the other
    answers with a nonce of its own and its proof; the first answers with its
    proof. A proof is the HMAC-SHA256, under the shared key, of the side's
    role, both nonces and both identities, so that it fits this connection,
    this direction and these two processes only. No I/O.
*/
class peer_handshake
{
public:
    /** The side that opened the connection.
        @param nonce  32 bytes that were never used before */
    static peer_handshake opener(peer_identity self, std::string key,
                                 std::string nonce);

    /** The side that accepted it. */
    static peer_handshake acceptor(peer_identity self, std::string key,
                                   std::string nonce);

    /** The opener's first frame. */
    std::string hello() const;

    /** Takes the other side's next frame.
        @returns the frame to answer with, empty for none */
    result<std::string> receive(std::string_view frame);

    /** Whether the other side has proved that it knows the key. */
    bool is_proven() const;

    /** Who the other side says it is; true once it is proven. */
    const peer_identity& remote() const;

private:
    enum class step
    {
        wait_for_hello,
        wait_for_challenge,
        wait_for_proof,
        proven
    };

    peer_handshake(step first, peer_identity self, std::string key,
                   std::string nonce);

    result<std::string> receive_hello(std::string_view frame);
    result<std::string> receive_challenge(std::string_view frame);
    result<std::string> receive_proof(std::string_view frame);

    /** The proof of the opener or the acceptor of this connection. */
    std::string proof(bool of_opener) const;

    step step_;
    bool is_opener_;
    peer_identity self_;
    std::string key_;
    std::string nonce_;
    peer_identity remote_;
    std::string remote_nonce_;
};

/** Random bytes from the operating system's entropy. */
std::string random_bytes(std::size_t count);

} // namespace hibiscusferry

#endif
