#include "storage/object_store/http_object_store.hpp"

#include "storage/service/platform_call.hpp"

namespace hibiscusferry
{

namespace
{

std::string object_target(const std::string& name)
{
    return "/v1/objects/" + url_encode(name);
}

result<void> write_object(const platform_service& service,
                          const http_request& request, time_point deadline,
                          boost::asio::yield_context yield)
{
    const result<http_response> answer =
        platform_write(service, request, deadline, yield);
    if (!answer)
        return answer.error();
    if (answer.value().status != 204)
        return make_error_code(unexpected_status(answer.value().status));
    return outcome::success();
}

result<std::string> read_object(const platform_service& service,
                                const http_request& request,
                                time_point deadline,
                                boost::asio::yield_context yield)
{
    const result<http_response> answer =
        platform_read(service, request, deadline, yield);
    if (!answer)
        return answer.error();
    if (answer.value().status == 404)
        return make_error_code(platform_error::not_found);
    if (answer.value().status != 200)
        return make_error_code(unexpected_status(answer.value().status));
    return answer.value().body;
}

} // namespace

http_object_store::http_object_store(platform_service service)
    : service_(std::move(service))
{
}

void http_object_store::write(const std::string& name, const std::string& bytes,
                              std::chrono::milliseconds time_limit,
                              write_handler handler)
{
    const time_point deadline = boot_clock::now() + time_limit;
    const http_request request{"PUT", object_target(name), {}, bytes};
    start_task(service_.context,
               [service = service_, request, deadline,
                handler = std::move(handler)](boost::asio::yield_context yield)
               { handler(write_object(service, request, deadline, yield)); });
}

void http_object_store::read(const std::string& name,
                             std::chrono::milliseconds time_limit,
                             read_handler handler)
{
    const time_point deadline = boot_clock::now() + time_limit;
    const http_request request{"GET", object_target(name)};
    start_task(service_.context,
               [service = service_, request, deadline,
                handler = std::move(handler)](boost::asio::yield_context yield)
               { handler(read_object(service, request, deadline, yield)); });
}

} // namespace hibiscusferry
