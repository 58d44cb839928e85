#include "storage/service/platform_call.hpp"

namespace hibiscusferry
{

namespace
{

/** Greatest body of an answer: a page of rows, or an object. */
constexpr std::size_t platform_answer_limit_bytes = 32U << 20;

platform_error to_platform_error(const std::error_code& error)
{
    const bool was_not_sent =
        error == http_error::connect_failed || error == http_error::bad_address;
    if (was_not_sent)
        return platform_error::not_sent;
    const bool is_unreadable =
        error == http_error::bad_message || error == http_error::too_large;
    return is_unreadable ? platform_error::bad_answer
                         : platform_error::outcome_unknown;
}

result<http_response> call_platform(const platform_service& service,
                                    const http_request& request,
                                    time_point deadline,
                                    boost::asio::yield_context yield)
{
    const std::chrono::milliseconds left =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            deadline - boot_clock::now());
    if (left <= std::chrono::milliseconds(0))
        return make_error_code(http_error::connect_failed);
    result<http_response> answer =
        http_call(service.pool, service.endpoint, request, left,
                  platform_answer_limit_bytes, yield);
    // The other idle connections may be as dead as this one.
    if (!answer)
        service.pool.get().forget(service.endpoint);
    return answer;
}

} // namespace

result<http_response> platform_write(const platform_service& service,
                                     const http_request& request,
                                     time_point deadline,
                                     boost::asio::yield_context yield)
{
    result<http_response> answer =
        call_platform(service, request, deadline, yield);
    if (!answer)
        return make_error_code(to_platform_error(answer.error()));
    return answer;
}

result<http_response> platform_read(const platform_service& service,
                                    const http_request& request,
                                    time_point deadline,
                                    boost::asio::yield_context yield)
{
    result<http_response> answer =
        call_platform(service, request, deadline, yield);
    if (!answer && answer.error() == http_error::broken)
        answer = call_platform(service, request, deadline, yield);
    if (!answer)
        return make_error_code(to_platform_error(answer.error()));
    return answer;
}

platform_error unexpected_status(unsigned status)
{
    switch (status)
    {
    case 400:
    case 413:
    case 429:
    case 503:
        return platform_error::refused;
    default:
        return platform_error::bad_answer;
    }
}

} // namespace hibiscusferry
