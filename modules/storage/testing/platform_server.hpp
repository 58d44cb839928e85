#ifndef HIBISCUSFERRY_STORAGE_TESTING_PLATFORM_SERVER_HPP
#define HIBISCUSFERRY_STORAGE_TESTING_PLATFORM_SERVER_HPP

#include "http/http.hpp"
#include "storage/storage.hpp"
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>

namespace hibiscusferry
{

/** An HTTP server for tests of platform adapters. It passes all requests to the
    given handler and runs the adapter's asynchronous calls to completion. */
class platform_server
{
public:
    static constexpr std::chrono::seconds call_timeout{10};

    explicit platform_server(const http_server::handler& handler)
        : server_(
              std::move(http_server::listen(
                            context_, {"127.0.0.1", 0}, {},
                            [this, handler](http_exchange& exchange,
                                            boost::asio::yield_context yield)
                            {
                                ++request_count_;
                                handler(exchange, yield);
                            })
                            .value()))
    {
    }

    /** Sends the same response to every request. */
    explicit platform_server(const http_response& response)
        : platform_server([response](http_exchange& exchange,
                                     boost::asio::yield_context yield)
                          { exchange.respond(response, yield).value(); })
    {
    }

    http_connection_pool& pool()
    {
        return pool_;
    }

    http_endpoint endpoint() const
    {
        return server_->endpoint();
    }

    boost::asio::io_context& context()
    {
        return context_;
    }

    /** Number of requests received. */
    unsigned request_count() const
    {
        return request_count_;
    }

    /** Starts a call and runs the context until its handler has been invoked.
        Checks that the handler is invoked exactly once and not from within the
        call. */
    template <class Value, class Call>
    result<Value> await(Call call)
    {
        std::optional<result<Value>> response;
        unsigned handler_calls = 0;
        call(
            [&](const result<Value>& received)
            {
                response = received;
                ++handler_calls;
            });
        BOOST_TEST(handler_calls == 0U);
        const time_point deadline = boot_clock::now() + call_timeout;
        while (handler_calls == 0 && boot_clock::now() < deadline)
            context_.run_one_for(call_timeout);
        context_.poll();
        BOOST_TEST_REQUIRE(handler_calls == 1U);
        return *response;
    }

private:
    boost::asio::io_context context_;
    http_connection_pool pool_{context_};
    unsigned request_count_ = 0;
    std::unique_ptr<http_server> server_;
};

} // namespace hibiscusferry

#endif
