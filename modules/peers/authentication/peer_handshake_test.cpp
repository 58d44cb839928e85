#include "peers/authentication/peer_handshake.hpp"

#include <boost/test/unit_test.hpp>
#include <random>

using namespace hibiscusferry;

namespace
{

const std::string key = "0123456789abcdef";
const std::string other_key = "0123456789abcdeF";
const peer_identity alpha{"alpha", 1, {"127.0.0.1", 7001}};
const peer_identity beta{"beta", 2, {"127.0.0.1", 7002}};

peer_handshake opener_with(const std::string& shared_key)
{
    return peer_handshake::opener(alpha, shared_key, random_bytes(32));
}

peer_handshake acceptor_with(const std::string& shared_key)
{
    return peer_handshake::acceptor(beta, shared_key, random_bytes(32));
}

} // namespace

BOOST_AUTO_TEST_SUITE(peer_handshake_test)

BOOST_AUTO_TEST_CASE(both_sides_authenticate_and_learn_the_remote_identity)
{
    peer_handshake opener = opener_with(key);
    peer_handshake acceptor = acceptor_with(key);
    const std::string challenge = acceptor.receive(opener.hello()).value();
    BOOST_TEST(!acceptor.is_authenticated());
    const std::string proof = opener.receive(challenge).value();
    BOOST_TEST(opener.is_authenticated());
    BOOST_TEST(acceptor.receive(proof).value().empty());
    BOOST_TEST(acceptor.is_authenticated());
    BOOST_TEST(opener.remote().id == "beta");
    BOOST_TEST(acceptor.remote().incarnation == 1U);
    BOOST_TEST((acceptor.remote().endpoint == alpha.endpoint));
}

BOOST_AUTO_TEST_CASE(each_side_rejects_a_peer_with_a_different_key)
{
    peer_handshake opener = opener_with(key);
    peer_handshake wrong_key_acceptor = acceptor_with(other_key);
    BOOST_TEST(
        opener.receive(wrong_key_acceptor.receive(opener.hello()).value())
            .error() == peers_error::not_authenticated);
    BOOST_TEST(!opener.is_authenticated());

    // This opener does not verify the acceptor's proof.
    peer_handshake acceptor = acceptor_with(key);
    peer_handshake wrong_key_opener = opener_with(other_key);
    peer_handshake second_wrong_key_acceptor = acceptor_with(other_key);
    const std::string proof =
        wrong_key_opener
            .receive(second_wrong_key_acceptor.receive(wrong_key_opener.hello())
                         .value())
            .value();
    acceptor.receive(wrong_key_opener.hello()).value();
    BOOST_TEST(acceptor.receive(proof).error() ==
               peers_error::not_authenticated);
    BOOST_TEST(!acceptor.is_authenticated());
}

BOOST_AUTO_TEST_CASE(a_proof_is_valid_for_one_connection_only)
{
    peer_handshake opener = opener_with(key);
    peer_handshake first = acceptor_with(key);
    const std::string hello = opener.hello();
    const std::string proof =
        opener.receive(first.receive(hello).value()).value();
    peer_handshake second = acceptor_with(key);
    second.receive(hello).value();
    BOOST_TEST(second.receive(proof).error() == peers_error::not_authenticated);
}

BOOST_AUTO_TEST_CASE(a_proof_cannot_be_reflected)
{
    // An attacker without the key sends the acceptor's own proof back to it.
    peer_handshake acceptor = acceptor_with(key);
    const std::string challenge =
        acceptor.receive(opener_with(other_key).hello()).value();
    std::string reflected = challenge.substr(challenge.find("challenge") + 9);
    reflected = reflected.substr(34, 34);
    std::string frame("\x83\x01\x65proof", 8);
    frame += reflected;
    BOOST_TEST(acceptor.receive(frame).error() ==
               peers_error::not_authenticated);
}

BOOST_AUTO_TEST_CASE(corrupted_frames_never_authenticate)
{
    std::mt19937_64 random(7);
    for (unsigned round = 0; round < 3000; ++round)
    {
        peer_handshake opener = opener_with(key);
        peer_handshake acceptor = acceptor_with(key);
        const std::string proof =
            opener.receive(acceptor.receive(opener.hello()).value()).value();
        std::string corrupted = proof;
        corrupted[random() % corrupted.size()] ^=
            static_cast<char>(1 + random() % 255);
        BOOST_TEST(acceptor.receive(corrupted).has_error());
        BOOST_TEST(!acceptor.is_authenticated());
    }
}

BOOST_AUTO_TEST_SUITE_END()
