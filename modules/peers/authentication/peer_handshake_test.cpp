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

BOOST_AUTO_TEST_CASE(both_sides_prove_themselves_and_learn_who_the_other_is)
{
    peer_handshake opener = opener_with(key);
    peer_handshake acceptor = acceptor_with(key);
    const std::string challenge = acceptor.receive(opener.hello()).value();
    BOOST_TEST(!acceptor.is_proven());
    const std::string proof = opener.receive(challenge).value();
    BOOST_TEST(opener.is_proven());
    BOOST_TEST(acceptor.receive(proof).value().empty());
    BOOST_TEST(acceptor.is_proven());
    BOOST_TEST(opener.remote().id == "beta");
    BOOST_TEST(acceptor.remote().incarnation == 1U);
    BOOST_TEST((acceptor.remote().endpoint == alpha.endpoint));
}

BOOST_AUTO_TEST_CASE(each_side_finds_out_that_the_other_has_another_key)
{
    peer_handshake opener = opener_with(key);
    peer_handshake impostor = acceptor_with(other_key);
    BOOST_TEST(
        opener.receive(impostor.receive(opener.hello()).value()).error() ==
        peers_error::not_proven);
    BOOST_TEST(!opener.is_proven());

    // An opener that does not look at the other side's proof.
    peer_handshake acceptor = acceptor_with(key);
    peer_handshake stranger = opener_with(other_key);
    peer_handshake stranger_acceptor = acceptor_with(other_key);
    const std::string proof =
        stranger.receive(stranger_acceptor.receive(stranger.hello()).value())
            .value();
    acceptor.receive(stranger.hello()).value();
    BOOST_TEST(acceptor.receive(proof).error() == peers_error::not_proven);
    BOOST_TEST(!acceptor.is_proven());
}

BOOST_AUTO_TEST_CASE(a_proof_fits_one_connection_only)
{
    peer_handshake opener = opener_with(key);
    peer_handshake first = acceptor_with(key);
    const std::string hello = opener.hello();
    const std::string proof =
        opener.receive(first.receive(hello).value()).value();
    peer_handshake second = acceptor_with(key);
    second.receive(hello).value();
    BOOST_TEST(second.receive(proof).error() == peers_error::not_proven);
}

BOOST_AUTO_TEST_CASE(a_proof_cannot_be_reflected)
{
    // The stranger has the acceptor's own proof sent back to it.
    peer_handshake acceptor = acceptor_with(key);
    const std::string challenge =
        acceptor.receive(opener_with(other_key).hello()).value();
    std::string reflected = challenge.substr(challenge.find("challenge") + 9);
    reflected = reflected.substr(34, 34);
    std::string frame("\x83\x01\x65proof", 8);
    frame += reflected;
    BOOST_TEST(acceptor.receive(frame).error() == peers_error::not_proven);
}

BOOST_AUTO_TEST_CASE(damaged_frames_never_prove_anything)
{
    std::mt19937_64 random(7);
    for (unsigned round = 0; round < 3000; ++round)
    {
        peer_handshake opener = opener_with(key);
        peer_handshake acceptor = acceptor_with(key);
        const std::string proof =
            opener.receive(acceptor.receive(opener.hello()).value()).value();
        std::string damaged = proof;
        damaged[random() % damaged.size()] ^=
            static_cast<char>(1 + random() % 255);
        BOOST_TEST(acceptor.receive(damaged).has_error());
        BOOST_TEST(!acceptor.is_proven());
    }
}

BOOST_AUTO_TEST_SUITE_END()
