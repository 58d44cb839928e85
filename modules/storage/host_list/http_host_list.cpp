#include "storage/host_list/http_host_list.hpp"

#include "storage/service/platform_call.hpp"
#include <nlohmann/json.hpp>
#include <optional>

namespace hibiscusferry
{

namespace
{

using natural_number = nlohmann::json::number_unsigned_t;

std::optional<host_kind> to_host_kind(const std::string& text)
{
    if (text == "entry")
        return host_kind::entry;
    if (text == "model_server")
        return host_kind::model_server;
    if (text == "application_server")
        return host_kind::application_server;
    return std::nullopt;
}

std::optional<host_state> to_host_state(const std::string& text)
{
    if (text == "live")
        return host_state::live;
    if (text == "leaving")
        return host_state::leaving;
    return std::nullopt;
}

/** Throws nlohmann::json::exception on a malformed host. */
result<listed_host> read_host(const nlohmann::json& item)
{
    const std::optional<host_kind> kind =
        to_host_kind(item.at("kind").get<std::string>());
    const std::optional<host_state> state =
        to_host_state(item.at("state").get<std::string>());
    const std::uint64_t port = item.at("port").get_ref<const natural_number&>();
    if (!kind || !state || port == 0 || port > UINT16_MAX)
        return make_error_code(platform_error::bad_answer);

    listed_host host;
    host.id = item.at("id").get<std::string>();
    host.kind = *kind;
    host.state = *state;
    host.service = item.value("service", "");
    host.region = item.value("region", "");
    host.availability_zone = item.value("availability_zone", "");
    host.address = item.at("address").get<std::string>();
    host.port = static_cast<std::uint16_t>(port);
    return host;
}

result<host_list_reading> read_list(const http_response& answer)
{
    if (answer.status != 200)
        return make_error_code(unexpected_status(answer.status));
    try
    {
        const nlohmann::json body = nlohmann::json::parse(answer.body);
        host_list_reading reading;
        reading.revision = body.at("revision").get_ref<const natural_number&>();
        for (const nlohmann::json& item : body.at("hosts"))
        {
            const result<listed_host> host = read_host(item);
            if (!host)
                return host.error();
            reading.hosts.push_back(host.value());
        }
        return reading;
    }
    catch (const nlohmann::json::exception&)
    {
        return make_error_code(platform_error::bad_answer);
    }
}

} // namespace

http_host_list::http_host_list(platform_service service)
    : service_(std::move(service))
{
}

void http_host_list::read(std::chrono::milliseconds time_limit,
                          read_handler handler)
{
    const time_point deadline = boot_clock::now() + time_limit;
    start_task(service_.context,
               [service = service_, deadline,
                handler = std::move(handler)](boost::asio::yield_context yield)
               {
                   const result<http_response> answer = platform_read(
                       service, {"GET", "/v1/hosts"}, deadline, yield);
                   if (!answer)
                       handler(answer.error());
                   else
                       handler(read_list(answer.value()));
               });
}

} // namespace hibiscusferry
