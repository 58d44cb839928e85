#include "stand_ins/server/server_stand_in.hpp"

#include <algorithm>

namespace hibiscusferry::stand_ins
{

namespace
{

/** The window in which the users count requests. */
constexpr std::chrono::seconds window{4};

} // namespace

server_stand_in::server_stand_in(boost::asio::io_context& context,
                                 std::chrono::milliseconds run_time)
    : context_(context)
    , run_time_(run_time)
    , counted_since_(boot_clock::now())
{
}

void server_stand_in::serve(http_exchange& exchange,
                            boost::asio::yield_context yield)
{
    const http_request& request = exchange.request();
    if (request.path().substr(0, 9) == "/control/")
        return serve_control(exchange, yield);
    arrivals_.push_back(boot_clock::now());
    http_response response;
    response.headers.set("X-Request-Id",
                         std::string(request.headers.value("X-Request-Id")));
    response.headers.set("X-Response-Signature", "stand-in");
    if (!limit_.empty())
        response.headers.set("Server-Limit", limit_);
    response.body = "done";
    sleep_for(context_, run_time_, yield);
    send_response(exchange, response, yield);
}

void server_stand_in::serve_control(http_exchange& exchange,
                                    boost::asio::yield_context yield)
{
    const http_request& request = exchange.request();
    if (request.path() == "/control/limit" && request.method == "POST")
        limit_ = request.body;
    else if (request.path() == "/control/reset" && request.method == "POST")
    {
        arrivals_.clear();
        counted_since_ = boot_clock::now();
    }
    else if (request.path() != "/control/counts" || request.method != "GET")
        return send_json(exchange, 404, error_body("not_found"), yield);
    const std::chrono::duration<double> elapsed =
        boot_clock::now() - counted_since_;
    send_json(exchange, 200,
              {{"requests", arrivals_.size()},
               {"most_in_window", most_in_window()},
               {"seconds", elapsed.count()}},
              yield);
}

std::size_t server_stand_in::most_in_window() const
{
    std::size_t most = 0;
    for (auto first = arrivals_.begin(); first != arrivals_.end(); ++first)
    {
        const auto end =
            std::lower_bound(first, arrivals_.end(), *first + window);
        most = std::max(most, static_cast<std::size_t>(end - first));
    }
    return most;
}

} // namespace hibiscusferry::stand_ins
