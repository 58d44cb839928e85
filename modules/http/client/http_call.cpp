#include "http/client/http_call.hpp"

#include "http/server/task.hpp"

namespace hibiscusferry
{

namespace
{

std::chrono::milliseconds time_left(time_point deadline)
{
    const std::chrono::milliseconds left =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            deadline - boot_clock::now());
    return std::max(left, std::chrono::milliseconds(1));
}

} // namespace

result<http_response>
http_call(http_connection_pool& pool, const http_endpoint& endpoint,
          const http_request& request, std::chrono::milliseconds time_limit,
          std::size_t byte_limit, boost::asio::yield_context yield)
{
    const time_point deadline = boot_clock::now() + time_limit;
    result<std::unique_ptr<http_connection>> opened =
        pool.take(endpoint, time_limit, yield);
    if (!opened)
        return opened.error();
    std::unique_ptr<http_connection> connection = std::move(opened.value());

    const result<void> sent =
        connection->send(request, time_left(deadline), yield);
    if (!sent)
        return sent.error();
    const result<http_response_head> head =
        connection->read_head(time_left(deadline), yield);
    if (!head)
        return head.error();
    result<std::string> body =
        connection->read_remaining(byte_limit, time_left(deadline), yield);
    if (!body)
        return body.error();

    pool.release(std::move(connection));
    return http_response{head.value().status, head.value().headers,
                         std::move(body.value())};
}

void http_call(boost::asio::io_context& context, http_connection_pool& pool,
               const http_endpoint& endpoint, const http_request& request,
               std::chrono::milliseconds time_limit, std::size_t byte_limit,
               std::function<void(result<http_response>)> handler)
{
    start_task(context,
               [&pool, endpoint, request, time_limit, byte_limit,
                handler](boost::asio::yield_context yield)
               {
                   handler(http_call(pool, endpoint, request, time_limit,
                                     byte_limit, yield));
               });
}

} // namespace hibiscusferry
