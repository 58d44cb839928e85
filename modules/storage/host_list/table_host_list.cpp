#include "storage/host_list/table_host_list.hpp"

#include "http/http.hpp"
#include <nlohmann/json.hpp>
#include <optional>

namespace hibiscusferry
{

namespace
{

using unsigned_number = nlohmann::json::number_unsigned_t;

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

/** Throws nlohmann::json::exception if a member is missing or has another
    type. */
result<listed_host> parse_host(const nlohmann::json& item)
{
    const std::optional<host_kind> kind =
        to_host_kind(item.at("kind").get<std::string>());
    const std::optional<host_state> state =
        to_host_state(item.at("state").get<std::string>());
    const std::uint64_t port =
        item.at("port").get_ref<const unsigned_number&>();
    if (!kind || !state || port == 0 || port > UINT16_MAX)
        return make_error_code(platform_error::bad_response);

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

result<host_list_snapshot> parse_list(const table_changes& rows)
{
    try
    {
        host_list_snapshot snapshot;
        snapshot.revision = rows.version;
        for (const table_row& row : rows.rows)
        {
            const result<listed_host> host =
                parse_host(nlohmann::json::parse(row.value));
            if (!host)
                return host.error();
            snapshot.hosts.push_back(host.value());
        }
        return snapshot;
    }
    catch (const nlohmann::json::exception&)
    {
        return make_error_code(platform_error::bad_response);
    }
}

} // namespace

table_host_list::table_host_list(boost::asio::io_context& context,
                                 table_feed& feed)
    : context_(context)
    , feed_(feed)
{
}

void table_host_list::read(std::chrono::milliseconds timeout,
                           read_handler handler)
{
    start_task(context_,
               [this, timeout,
                handler = std::move(handler)](boost::asio::yield_context yield)
               {
                   const result<table_changes> rows =
                       feed_.snapshot(table, timeout, yield);
                   if (!rows)
                       handler(rows.error());
                   else
                       handler(parse_list(rows.value()));
               });
}

} // namespace hibiscusferry
