#include "document/document.hpp"

#include <boost/test/unit_test.hpp>

using namespace hibiscusferry;

namespace
{

const std::string order_desk = R"(schema = 1
service = "order-desk"
owner = "orders-team"
kind = "application"
region = "nl-west"
targets_check_orders = "none"

[[classes]]
name = "driver-question"
urgent = true
path = "/pickups/*"
deadline_ms = 2000

[[not_repeatable]]
method = "POST"
path = "/orders*"
status_path = "/outcomes/{key}"

[[customers]]
name = "driver-app"
key_sha256 = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"
weight = 2.5
)";

} // namespace

BOOST_AUTO_TEST_SUITE(document_reader_test)

BOOST_AUTO_TEST_CASE(a_valid_document_is_parsed_and_classifies_requests)
{
    const document_parse_result parsed =
        parse_service_document(order_desk, "order-desk.toml");
    BOOST_TEST(to_text(parsed.problems) == "");
    const service_document& document = parsed.document.value();
    BOOST_TEST(class_of(document, {"GET", "/pickups/7", ""}).urgent);
    BOOST_TEST(!class_of(document, {"GET", "/stock/7", ""}).urgent);
    BOOST_TEST(not_repeatable_rule_of(document, {"POST", "/orders", ""}) !=
               nullptr);
    BOOST_TEST(!is_idempotent(document, {"POST", "/orders/3", ""}));
    BOOST_TEST(!is_idempotent(document, {"POST", "/stock", ""}));
    BOOST_TEST(is_idempotent(document, {"GET", "/orders/3", ""}));
    BOOST_TEST(workspace_of(document, sha256_hex("abc"))->name == "driver-app");
    BOOST_TEST(workspace_of(document, sha256_hex("abd")) == nullptr);
}

BOOST_AUTO_TEST_CASE(problems_state_the_line_and_the_allowed_values)
{
    const document_parse_result parsed = parse_service_document(
        "service = \"Order Desk\"\nowner = \"t\"\nkind = \"magic\"\n"
        "region = \"nl-west\"\n[[customers]]\nname = \"a\"\n"
        "key_sha256 = \"12\"\nweight = nan\n[[not_repeatable]]\n"
        "method = \"POST\"\npath = \"orders\"\nstatus_path = \"/x\"\n",
        "d.toml");
    const std::string problems = to_text(parsed.problems);
    BOOST_TEST(!parsed.document.has_value());
    for (const char* expected :
         {"d.toml:1: service must be 1 to 64",
          "d.toml:3: kind must be \"model\" or \"application\"",
          "d.toml:7: customers[0].key_sha256 must be a SHA-256",
          "d.toml:8: customers[0].weight must be a number from",
          "d.toml:11: not_repeatable[0].path must begin with /",
          "d.toml:12: not_repeatable[0].status_path must contain {key}"})
        BOOST_TEST(problems.find(expected) != std::string::npos,
                   expected << " not in:\n"
                            << problems);
}

BOOST_AUTO_TEST_CASE(difference_shows_changed_lines_only)
{
    BOOST_TEST(line_difference("a\nb\nc\n", "a\nx\nc\nd\n") ==
               " a\n-b\n+x\n c\n+d\n");
    BOOST_TEST(line_difference("a\n", "a\n") == "");
}

BOOST_AUTO_TEST_SUITE_END()
