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

BOOST_AUTO_TEST_CASE(a_message_passes_unchanged)
{
    const peer_envelope read = decode_envelope(encode_envelope(sample)).value();
    BOOST_TEST(read.sender == sample.sender);
    BOOST_TEST(read.incarnation == sample.incarnation);
    BOOST_TEST((read.time == sample.time));
    BOOST_TEST(read.message.type == sample.message.type);
    BOOST_TEST(read.message.payload == sample.message.payload);
}

BOOST_AUTO_TEST_CASE(another_version_is_told_from_damage)
{
    std::string frame = encode_envelope(sample);
    frame[1] = 2;
    BOOST_TEST(decode_envelope(frame).error() == peers_error::other_version);
    frame[1] = 'x';
    BOOST_TEST(decode_envelope(frame).error() == peers_error::malformed);
}

BOOST_AUTO_TEST_CASE(damaged_frames_are_read_without_harm)
{
    std::mt19937_64 random(11);
    const std::string whole = encode_envelope(sample);
    for (unsigned round = 0; round < 20000; ++round)
    {
        std::string frame = whole.substr(0, 1 + random() % whole.size());
        for (unsigned change = 0; change < 1 + random() % 4; ++change)
            frame[random() % frame.size()] = static_cast<char>(random());
        const result<peer_envelope> read = decode_envelope(frame);
        BOOST_TEST((!read || is_valid_payload(read.value().message.payload)));
    }
    BOOST_TEST(decode_envelope("").has_error());
}

BOOST_AUTO_TEST_CASE(deep_nesting_is_refused_before_it_is_decoded)
{
    const std::string depth_of_16(16, '\x81');
    BOOST_TEST(is_valid_payload(depth_of_16 + '\x01'));
    BOOST_TEST(!is_valid_payload('\x81' + depth_of_16 + '\x01'));
    BOOST_TEST(!is_valid_payload(std::string(10U << 20, '\x81')));
    BOOST_TEST(!is_valid_payload(std::string(10U << 20, '\x9f')));
    BOOST_TEST(decode_envelope(std::string(10U << 20, '\x81')).has_error());
    // An array and a text that say they are huge.
    BOOST_TEST(
        !is_valid_payload(std::string("\x9b\xff\xff\xff\xff\xff\xff\xff\xff"
                                      "\x01",
                                      10)));
    BOOST_TEST(!is_valid_payload("\x7b\x7f\xff\xff\xff\xff\xff\xff\xffx"));
}

BOOST_AUTO_TEST_SUITE_END()
