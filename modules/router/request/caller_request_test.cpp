#include "router/router.hpp"

#include <boost/test/unit_test.hpp>

using namespace hibiscusferry;

BOOST_AUTO_TEST_SUITE(caller_request_test)

// A misparsed path would select the wrong service. Forwarding the caller's key
// or a forged X-Attempt-Id would leak a secret or break the matching of
// responses to attempts.
BOOST_AUTO_TEST_CASE(service_path_and_headers_are_parsed)
{
    BOOST_TEST(parse_service_path("/services/order-desk/stock/7?x=1").rest ==
               "/stock/7?x=1");
    for (const char* bad : {"/services/", "/services/a", "/services//x",
                            "/other/a/b", "/services/a?b/c"})
        BOOST_TEST(parse_service_path(bad).service.empty(), bad);
    BOOST_TEST(bearer_key("bearer abc") == "abc");
    BOOST_TEST(bearer_key("Basic abc").empty());

    caller_request request;
    request.id = "r1";
    request.target_path = "/x";
    request.message.headers = {{"Authorization", "Bearer secret"},
                               {"X-Attempt-Id", "forged"},
                               {"X-Other", "kept"}};
    const http_request sent = to_target_request(request, "a1", {});
    BOOST_TEST(!sent.headers.has("authorization"));
    BOOST_TEST(sent.headers.value("X-Attempt-Id") == "a1");
    BOOST_TEST(sent.headers.value("X-Other") == "kept");
}

BOOST_AUTO_TEST_SUITE_END()
