#include "runtime/runtime.hpp"

#include <boost/test/unit_test.hpp>

using namespace hibiscusferry;

namespace
{

/** Returns whether a parser rejects every truncation of a valid payload and
    payloads of another form. */
template <class Message>
bool rejects_corruption(const std::string& valid_payload,
                        result<Message> (*parse)(const std::string&))
{
    for (std::size_t length = 0; length < valid_payload.size(); ++length)
    {
        if (parse(valid_payload.substr(0, length)))
            return false;
    }
    return !parse("garbage") && !parse(std::string(1, '\xa0'));
}

} // namespace

BOOST_AUTO_TEST_SUITE(peer_messages_test)

BOOST_AUTO_TEST_CASE(membership_messages_round_trip)
{
    membership_message message;
    message.kind = membership_message_kind::probe_request;
    message.sender = "entry-1";
    message.subject = "entry-2";
    message.rumours = {{"entry-3", member_state::suspect, 7}};
    message.digests = {{4, std::string("\0\xff", 2)}};
    const std::string cbor = to_cbor(message);
    const membership_message parsed = parse_membership_message(cbor).value();
    BOOST_TEST(parsed.subject == "entry-2");
    BOOST_TEST(parsed.rumours.at(0).incarnation == 7U);
    BOOST_TEST((parsed.rumours.at(0).state == member_state::suspect));
    BOOST_TEST(parsed.digests.at(0).bytes == message.digests.at(0).bytes);
    BOOST_TEST(rejects_corruption(cbor, parse_membership_message));
}

BOOST_AUTO_TEST_CASE(document_replies_round_trip)
{
    document_reply reply;
    reply.revision = 9;
    reply.documents = {{"order-desk", 9, "c1", "team", "text = 1"}};
    const std::string cbor = to_cbor(reply);
    const document_reply parsed = parse_document_reply(cbor).value();
    BOOST_TEST(!parsed.confirmation_age.has_value());
    BOOST_TEST(parsed.documents.at(0).text == "text = 1");
    BOOST_TEST(rejects_corruption(cbor, parse_document_reply));
}

BOOST_AUTO_TEST_CASE(announcements_round_trip)
{
    const permission_reply reply{3, {"s", {5, 6}, {"t1", "t2"}}};
    const std::string cbor = to_cbor(reply);
    const permission_reply parsed = parse_permission_reply(cbor).value();
    BOOST_TEST((parsed.announcement.version == announcement_version{5, 6}));
    BOOST_TEST(parsed.announcement.stopped_targets.size() == 2U);
    BOOST_TEST((parsed.announcement.term == permission_term));
    BOOST_TEST(rejects_corruption(cbor, parse_permission_reply));

    const std::string stop = to_cbor(service_stop{"s", {"t1", {5, 7}}});
    BOOST_TEST(parse_service_stop(stop).value().stop.version.sequence == 7U);
    BOOST_TEST(rejects_corruption(stop, parse_service_stop));
}

BOOST_AUTO_TEST_CASE(usage_reports_and_demand_answers_round_trip)
{
    const usage_report report{"entry-1", 2, 3, true, {{7, 8, 6, true}}};
    const std::string cbor = to_cbor(report);
    BOOST_TEST(parse_usage_report(cbor).value().entries.at(0).offered == 8U);
    BOOST_TEST(rejects_corruption(cbor, parse_usage_report));

    const std::string answer = to_cbor(demand_response{false, {{7, 12.5}}});
    BOOST_TEST(
        parse_demand_answer(answer).value().entries.at(0).tokens_per_second ==
        12.5);
    BOOST_TEST(rejects_corruption(answer, parse_demand_answer));
    const demand_response negative{false, {{7, -1.0}}};
    BOOST_TEST(!parse_demand_answer(to_cbor(negative)));
}

BOOST_AUTO_TEST_CASE(reachability_replies_round_trip)
{
    const std::string cbor = to_cbor(reachability_reply{185});
    BOOST_TEST(parse_reachability_reply(cbor).value().hosts == 185U);
    BOOST_TEST(rejects_corruption(cbor, parse_reachability_reply));
    BOOST_TEST(!parse_reachability_reply(empty_payload()));
}

BOOST_AUTO_TEST_SUITE_END()
