#include "peers/message/peer_envelope.hpp"

#include <boost/test/unit_test.hpp>
#include <random>

using namespace hibiscusferry;

namespace
{

const peer_envelope sample{
    "alpha", 7, {1234567890123456, 42}, {"membership", "\x82\x01\x61x"}};

} // namespace

BOOST_AUTO_TEST_SUITE(peer_envelope_test)

BOOST_AUTO_TEST_CASE(a_message_is_decoded_as_encoded)
{
    const peer_envelope decoded =
        decode_envelope(encode_envelope(sample)).value();
    BOOST_TEST(decoded.sender == sample.sender);
    BOOST_TEST(decoded.incarnation == sample.incarnation);
    BOOST_TEST((decoded.time == sample.time));
    BOOST_TEST(decoded.message.type == sample.message.type);
    BOOST_TEST(decoded.message.payload == sample.message.payload);
}

BOOST_AUTO_TEST_CASE(a_version_mismatch_is_distinguished_from_corruption)
{
    std::string frame = encode_envelope(sample);
    frame[1] = 2;
    BOOST_TEST(decode_envelope(frame).error() == peers_error::version_mismatch);
    frame[1] = 'x';
    BOOST_TEST(decode_envelope(frame).error() == peers_error::malformed);
}

BOOST_AUTO_TEST_CASE(corrupted_frames_are_rejected_or_decoded_safely)
{
    std::mt19937_64 random(11);
    const std::string valid_frame = encode_envelope(sample);
    for (unsigned round = 0; round < 20000; ++round)
    {
        std::string frame =
            valid_frame.substr(0, 1 + random() % valid_frame.size());
        for (unsigned change = 0; change < 1 + random() % 4; ++change)
            frame[random() % frame.size()] = static_cast<char>(random());
        const result<peer_envelope> decoded = decode_envelope(frame);
        BOOST_TEST(
            (!decoded || is_valid_payload(decoded.value().message.payload)));
    }
    BOOST_TEST(decode_envelope("").has_error());
}

BOOST_AUTO_TEST_CASE(deep_nesting_is_rejected_before_decoding)
{
    const std::string depth_of_16(16, '\x81');
    BOOST_TEST(is_valid_payload(depth_of_16 + '\x01'));
    BOOST_TEST(!is_valid_payload('\x81' + depth_of_16 + '\x01'));
    BOOST_TEST(!is_valid_payload(std::string(10U << 20, '\x81')));
    BOOST_TEST(!is_valid_payload(std::string(10U << 20, '\x9f')));
    BOOST_TEST(decode_envelope(std::string(10U << 20, '\x81')).has_error());
    // An array and a text string that declare a huge length.
    BOOST_TEST(
        !is_valid_payload(std::string("\x9b\xff\xff\xff\xff\xff\xff\xff\xff"
                                      "\x01",
                                      10)));
    BOOST_TEST(!is_valid_payload("\x7b\x7f\xff\xff\xff\xff\xff\xff\xffx"));
}

BOOST_AUTO_TEST_SUITE_END()
