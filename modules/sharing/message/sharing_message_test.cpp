#include "sharing/sharing.hpp"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace hibiscusferry;

namespace
{

sharing_message example()
{
    sharing_message message;
    message.type = sharing_message::kind::zone_response;
    message.host = "h1";
    message.availability_zone = "a";
    message.number = 77;
    message.is_relay = true;
    message.load = {
        1, 3, 20, {{4000000000U, {2.3, 1600, 32000, 2, 1, 7.5, -40}}}};
    message.load.limits[1ULL << 60] = {
        22.8, std::chrono::milliseconds(1500), 7, {1.5, 30, 40.25}};
    message.load.limits[5] = {};
    message.positions = {
        replica_position{{2, 10}, 9, std::chrono::milliseconds(40)},
        replica_position{{2, 900}, 20, std::chrono::milliseconds(0)},
        replica_position{}};
    return message;
}

} // namespace

BOOST_AUTO_TEST_SUITE(sharing_message_test)

BOOST_AUTO_TEST_CASE(decoding_restores_the_encoded_message)
{
    const sharing_message decoded =
        decode_message(encode_message(example())).value();
    BOOST_TEST((decoded.type == sharing_message::kind::zone_response));
    BOOST_TEST(decoded.host == "h1");
    BOOST_TEST(decoded.availability_zone == "a");
    BOOST_TEST(decoded.number == 77U);
    BOOST_TEST(decoded.is_relay);
    BOOST_TEST(decoded.load.index == 1U);
    BOOST_TEST(decoded.load.count == 3U);
    BOOST_TEST(decoded.load.hosts == 20U);
    const in_flight_load& load = decoded.load.loads.at(4000000000U);
    BOOST_TEST(load.requests == 2.3, boost::test_tools::tolerance(0.001));
    BOOST_TEST(load.pending_prefill_tokens == 1600);
    BOOST_TEST(load.kv_tokens == 32000);
    BOOST_TEST(load.hosts_suspecting == 2);
    BOOST_TEST(load.hosts_changing_stage == 1);
    BOOST_TEST(load.exchanges == 7.5);
    BOOST_TEST(load.delays_ms == -40);
    const request_limit_report& limit = decoded.load.limits.at(1ULL << 60);
    BOOST_TEST(limit.rate.value() == 22.8, boost::test_tools::tolerance(0.001));
    BOOST_TEST(limit.age.count() == 1500);
    BOOST_TEST(limit.recent_requests == 7);
    BOOST_TEST(limit.demand[0] == 1.5);
    BOOST_TEST(limit.demand[1] == 30);
    BOOST_TEST(limit.demand[2] == 40.25);
    BOOST_TEST(!decoded.load.limits.at(5).rate.has_value());
    BOOST_TEST(
        (decoded.load.limits.at(5).age == request_limit_report::no_statement));
    BOOST_TEST(decoded.positions[0].digest == 9U);
    BOOST_TEST(decoded.positions[0].age.count() == 40);
    BOOST_TEST((decoded.positions[1].as_of == store_position{2, 900}));
}

BOOST_AUTO_TEST_CASE(malformed_bytes_are_rejected)
{
    const std::string encoded = encode_message(example());
    for (std::size_t size = 0; size < encoded.size(); ++size)
        BOOST_TEST(!decode_message(std::string_view(encoded).substr(0, size)));
    BOOST_TEST(!decode_message("\x80"));
    BOOST_TEST(!decode_message("text"));
    std::string wrong_version = encoded;
    wrong_version[1] = '\x01'; // The encoded message version.
    BOOST_TEST(!decode_message(wrong_version));
    const std::vector<std::uint8_t> negative = nlohmann::json::to_cbor(
        {2, 0, "h", "z", -5, true, {0, 1, 1}, {}, {}, nlohmann::json::array()});
    BOOST_TEST(!decode_message(
        {reinterpret_cast<const char*>(negative.data()), negative.size()}));
}

BOOST_AUTO_TEST_CASE(numbers_beyond_any_load_are_limited)
{
    sharing_message message = example();
    in_flight_load& load = message.load.loads.at(4000000000U);
    load.requests = 1e300;
    load.pending_prefill_tokens = std::numeric_limits<double>::infinity();
    load.kv_tokens = -1e300;
    message.positions[1].age = std::chrono::milliseconds::max();
    message.positions[2].age = std::chrono::milliseconds::min();
    const sharing_message decoded =
        decode_message(encode_message(message)).value();
    const in_flight_load& limited = decoded.load.loads.at(4000000000U);
    BOOST_TEST(limited.requests == 1e14, boost::test_tools::tolerance(0.001));
    BOOST_TEST(limited.pending_prefill_tokens < 1e17);
    BOOST_TEST(limited.kv_tokens == 0);
    BOOST_TEST(decoded.positions[1].age.count() == 1000000);
    BOOST_TEST(decoded.positions[2].age.count() == 0);

    const double not_a_number = std::numeric_limits<double>::quiet_NaN();
    nlohmann::json fields = nlohmann::json::from_cbor(encode_message(message));
    fields.at(7).at(7) = not_a_number;
    const std::vector<std::uint8_t> bytes = nlohmann::json::to_cbor(fields);
    BOOST_TEST(!decode_message(
        {reinterpret_cast<const char*>(bytes.data()), bytes.size()}));
}

// Guards against the exhaustion of the stack by a single message.
BOOST_AUTO_TEST_CASE(deeply_nested_bytes_are_rejected)
{
    constexpr std::size_t levels = 1U << 20;
    std::string objects;
    for (std::size_t level = 0; level < levels; ++level)
        objects += std::string("\xa1\x60", 2);
    for (const std::string& bytes :
         {std::string(levels, '\x81'), std::string(levels, '\x9f'),
          std::string(levels, '\xc1'), objects})
    {
        BOOST_TEST(!decode_message(bytes));
        BOOST_TEST(!decode_updates(bytes));
    }
}

BOOST_AUTO_TEST_CASE(parts_fit_into_a_datagram_and_hold_all_targets)
{
    aggregated_loads loads;
    loads.hosts = 370;
    for (std::uint32_t target = 0; target < 740; ++target)
        loads.loads[key_of_target("engine-" + std::to_string(target))] = {
            999.9, 1e6, 1e6, 370, 1, 9999, 1e6};
    for (std::uint64_t target = 0; target < 740; ++target)
        loads.limits[combine_hashes(target, 1)] = {
            1000, std::chrono::milliseconds(9999), 999, {9999, 9999, 9999}};
    std::size_t target_count = 0;
    std::size_t limit_count = 0;
    for (const load_part& part : split_loads(loads))
    {
        sharing_message message = example();
        message.load = part;
        BOOST_TEST(encode_message(message).size() <= 1400U);
        target_count += part.loads.size();
        limit_count += part.limits.size();
    }
    BOOST_TEST(target_count == 740U);
    BOOST_TEST(limit_count == 740U);
    BOOST_TEST(split_loads({}).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
