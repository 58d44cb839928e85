#include "operations/client/operator_client.hpp"

namespace hibiscusferry
{

namespace
{

constexpr std::size_t max_response_bytes = 64U << 20;

result<http_response> call_and_wait(const http_endpoint& endpoint,
                                    const http_request& request,
                                    std::chrono::milliseconds timeout)
{
    boost::asio::io_context context;
    http_connection_pool pool(context);
    result<http_response> response = make_error_code(http_error::not_open);
    http_call(context, pool, endpoint, request, timeout, max_response_bytes,
              [&response](result<http_response> received)
              { response = std::move(received); });
    context.run();
    return response;
}

} // namespace

operator_client::operator_client(client_settings settings,
                                 std::string operator_key)
    : settings_(std::move(settings))
    , operator_key_(std::move(operator_key))
{
}

result<http_response>
operator_client::call_controller(const std::string& method,
                                 const std::string& path,
                                 const std::string& body) const
{
    const http_request request{method,
                               "/v1/operator/" + path,
                               {{"Authorization", "Bearer " + operator_key_},
                                {"Content-Type", "application/json"}},
                               body};
    result<http_response> last = make_error_code(http_error::connect_failed);
    for (const http_endpoint& controller : settings_.controllers)
    {
        last = call_and_wait(controller, request, call_timeout);
        if (last)
            return last;
    }
    return last;
}

result<http_response> operator_client::read_page(const http_endpoint& process,
                                                 const std::string& path) const
{
    return call_and_wait(process, {"GET", path}, page_timeout);
}

const client_settings& operator_client::settings() const
{
    return settings_;
}

} // namespace hibiscusferry
