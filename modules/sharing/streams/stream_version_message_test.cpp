#include "sharing/sharing.hpp"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace hibiscusferry;

namespace
{

using message_kind = stream_version_message::kind;

const stream_version sample_version{"1.4.2", std::chrono::milliseconds(8000)};

void check_round_trip(const stream_version_message& message)
{
    const std::string bytes = encode_stream_message(message);
    BOOST_TEST(is_stream_version_message(bytes));
    const result<stream_version_message> decoded = decode_stream_message(bytes);
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST((decoded.value().type == message.type));
    BOOST_TEST(decoded.value().key == message.key);
    BOOST_TEST(decoded.value().number == message.number);
    BOOST_REQUIRE(decoded.value().value.has_value() ==
                  message.value.has_value());
    if (message.value)
    {
        BOOST_TEST(decoded.value().value->version == message.value->version);
        BOOST_TEST(decoded.value().value->lifetime.count() ==
                   message.value->lifetime.count());
    }
}

std::string cbor(const nlohmann::json& value)
{
    const std::vector<std::uint8_t> bytes = nlohmann::json::to_cbor(value);
    return {bytes.begin(), bytes.end()};
}

/** The bytes of an array that contains only an array, and so on. */
std::string nested_arrays(std::size_t depth)
{
    return std::string(depth, '\x81') + '\x00';
}

} // namespace

BOOST_AUTO_TEST_SUITE(stream_version_message_test)

BOOST_AUTO_TEST_CASE(messages_are_unchanged_by_encoding_and_decoding)
{
    constexpr std::uint64_t max = std::numeric_limits<std::uint64_t>::max();
    check_round_trip({message_kind::record, max, 0, sample_version});
    check_round_trip({message_kind::record, 1, 0, stream_version{}});
    check_round_trip({message_kind::record, 1, 0,
                      stream_version{std::string(max_stream_version_bytes, 'v'),
                                     max_stream_record_lifetime}});
    check_round_trip({message_kind::question, 5, max, std::nullopt});
    check_round_trip({message_kind::answer, 0, 7, sample_version});
    check_round_trip({message_kind::answer, 0, 7, std::nullopt});
}

BOOST_AUTO_TEST_CASE(messages_are_small)
{
    constexpr std::uint64_t key = 0xfedcba9876543210U;
    BOOST_TEST(
        encode_stream_message({message_kind::record, key, 0, sample_version})
            .size() <= 28U);
}

BOOST_AUTO_TEST_CASE(messages_of_other_kinds_are_told_apart)
{
    const std::string load_report = encode_message(sharing_message{});
    BOOST_TEST(!is_stream_version_message(load_report));
    BOOST_TEST(!is_stream_version_message(""));
    BOOST_TEST(!is_stream_version_message("sv1"));
    const std::string question =
        encode_stream_message({message_kind::question, 5, 6, std::nullopt});
    BOOST_TEST(!decode_message(question).has_value());
    BOOST_TEST(is_stream_version_message(cbor({"sv2", 9, "later"})));
}

BOOST_AUTO_TEST_CASE(malformed_messages_are_rejected)
{
    const std::vector<std::string> malformed{
        "",
        "sv1",
        cbor("sv1"),
        cbor(nlohmann::json::array()),
        cbor({"sv1"}),
        cbor({1, 0, 2, "v", 3}),
        cbor({"sv2", 0, 2, "v", 3}),
        cbor({"sv1", 3, 2, "v", 3}),
        cbor({"sv1", -1, 2, "v", 3}),
        cbor({"sv1", 0, 2, "v"}),
        cbor({"sv1", 0, 2, "v", 3, 4}),
        cbor({"sv1", 0, -2, "v", 3}),
        cbor({"sv1", 0, "2", "v", 3}),
        cbor({"sv1", 0, 2, 1, 3}),
        cbor({"sv1", 0, 2, "v", "3"}),
        cbor({"sv1", 0, 2, "v", 3.5}),
        cbor({"sv1", 0, 2, "v", -3}),
        cbor({"sv1", 0, 2, "v", 3600001}),
        cbor({"sv1", 0, 2, std::string(max_stream_version_bytes + 1, 'v'), 3}),
        cbor({"sv1", 1, 2}),
        cbor({"sv1", 1, 2, 3, 4}),
        cbor({"sv1", 2}),
        cbor({"sv1", 2, 1, "v"}),
        cbor({"sv1", 2, 1, "v", 3, 4}),
        cbor({"sv1", 2, 1, nlohmann::json::array({"v"}), 3}),
        cbor({{"sv1", 2}}),
        nested_arrays(4000)};
    for (const std::string& bytes : malformed)
        BOOST_TEST(!decode_stream_message(bytes).has_value());
}

BOOST_AUTO_TEST_CASE(truncated_and_extended_messages_are_rejected)
{
    const std::string bytes =
        encode_stream_message({message_kind::record, 77, 0, sample_version});
    for (std::size_t size = 0; size < bytes.size(); ++size)
        BOOST_TEST(!decode_stream_message(bytes.substr(0, size)).has_value());
    BOOST_TEST(!decode_stream_message(bytes + '\0').has_value());
}

BOOST_AUTO_TEST_SUITE_END()
