#ifndef HIBISCUSFERRY_STORAGE_TESTING_PLATFORM_SERVER_HPP
#define HIBISCUSFERRY_STORAGE_TESTING_PLATFORM_SERVER_HPP

#include "http/http.hpp"
#include "storage/storage.hpp"
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>

namespace hibiscusferry
{

/** An HTTP server with a handler of the test's choice, and the means to call
    it through an adapter. */
class platform_server
{
public:
    static constexpr std::chrono::seconds patience{10};

    explicit platform_server(const http_server::handler& handler)
        : server_(
              std::move(http_server::listen(
                            context_, {"127.0.0.1", 0}, {},
                            [this, handler](http_exchange& exchange,
                                            boost::asio::yield_context yield)
                            {
                                ++arrivals_;
                                handler(exchange, yield);
                            })
                            .value()))
    {
    }

    /** Answers every request alike. */
    explicit platform_server(const http_response& answer)
        : platform_server([answer](http_exchange& exchange,
                                   boost::asio::yield_context yield)
                          { exchange.respond(answer, yield).value(); })
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

    /** How many requests have come. */
    unsigned arrivals() const
    {
        return arrivals_;
    }

    /** Makes a call and runs until its handler was called; checks that this
        is later than the call, and only once. */
    template <class Value, class Call>
    result<Value> await(Call call)
    {
        std::optional<result<Value>> answer;
        unsigned answers = 0;
        call(
            [&](const result<Value>& given)
            {
                answer = given;
                ++answers;
            });
        BOOST_TEST(answers == 0U);
        const time_point limit = boot_clock::now() + patience;
        while (answers == 0 && boot_clock::now() < limit)
            context_.run_one_for(patience);
        context_.poll();
        BOOST_TEST_REQUIRE(answers == 1U);
        return *answer;
    }

private:
    boost::asio::io_context context_;
    http_connection_pool pool_{context_};
    unsigned arrivals_ = 0;
    std::unique_ptr<http_server> server_;
};

} // namespace hibiscusferry

#endif
