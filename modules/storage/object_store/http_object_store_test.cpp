#include "storage/testing/platform_server.hpp"

using namespace hibiscusferry;
using boost::asio::yield_context;

namespace
{

constexpr std::chrono::milliseconds object_time_limit{5000};

} // namespace

BOOST_AUTO_TEST_SUITE(http_object_store_test)

BOOST_AUTO_TEST_CASE(bytes_pass_unchanged_and_absence_is_told)
{
    const std::string bytes("a\0\xff\r\nb", 6);
    std::string stored;
    platform_server server(
        [&](http_exchange& exchange, yield_context yield)
        {
            const http_request& request = exchange.request();
            BOOST_TEST(request.target == "/v1/objects/doc%2F1");
            if (request.method == "PUT")
            {
                stored = request.body;
                exchange.respond({204, {}, ""}, yield).value();
                return;
            }
            exchange.respond({stored.empty() ? 404U : 200U, {}, stored}, yield)
                .value();
        });
    http_object_store store(server.service());
    const auto read = [&]
    {
        return server.await<std::string>(
            [&](const object_store::read_handler& handler)
            { store.read("doc/1", object_time_limit, handler); });
    };
    BOOST_TEST(read().error() == platform_error::not_found);
    const result<void> written = server.await<void>(
        [&](const object_store::write_handler& handler)
        { store.write("doc/1", bytes, object_time_limit, handler); });
    BOOST_TEST(written.has_value());
    BOOST_TEST(read().value() == bytes);
}

BOOST_AUTO_TEST_SUITE_END()
