#include "runtime/admin/admin_service.hpp"

#include <glog/logging.h>
#include <nlohmann/json.hpp>

namespace hibiscusferry
{

namespace
{

http_response text_response(unsigned status, std::string body)
{
    http_response response;
    response.status = status;
    response.headers.set("Content-Type", "text/plain; charset=utf-8");
    response.body = std::move(body);
    return response;
}

nlohmann::json event_json(const event& entry)
{
    const event_definition& definition = definition_of(entry.number);
    nlohmann::json fields = nlohmann::json::object();
    for (const event_field& field : entry.fields)
        fields[field.name] = field.value;
    return {{"time", entry.time.text()},
            {"number", static_cast<int>(entry.number)},
            {"name", definition.name},
            {"severity", to_text(definition.severity)},
            {"fields", std::move(fields)}};
}

} // namespace

admin_service::admin_service(process_core& core)
    : core_(core)
{
}

void admin_service::add_page(const std::string& path_prefix,
                             page_handler handler)
{
    pages_[path_prefix] = std::move(handler);
}

void admin_service::add_readiness_check(std::function<std::string()> check)
{
    readiness_checks_.push_back(std::move(check));
}

void admin_service::add_status(const std::string& member,
                               std::function<std::string()> json)
{
    status_members_[member] = std::move(json);
}

result<void> admin_service::start()
{
    const address_setting& admin_address = core_.settings().admin;
    result<std::unique_ptr<http_server>> listen_result = http_server::listen(
        core_.context(), {admin_address.address, admin_address.port}, {},
        [this](http_exchange& exchange, boost::asio::yield_context yield)
        { serve(exchange, yield); });
    if (!listen_result)
    {
        LOG(ERROR) << "cannot listen on the admin address "
                   << admin_address.address << ":" << admin_address.port;
        return listen_result.error();
    }
    server_ = std::move(listen_result.value());
    return outcome::success();
}

void admin_service::stop()
{
    server_->close();
}

void admin_service::serve(http_exchange& exchange,
                          boost::asio::yield_context yield)
{
    const std::string path(exchange.request().path());
    for (const auto& [prefix, handler] : pages_)
    {
        if (path.compare(0, prefix.size(), prefix) == 0)
        {
            handler(exchange, yield);
            return;
        }
    }
    const result<void> ignored =
        exchange.respond(page(exchange.request()), yield);
    static_cast<void>(ignored);
}

http_response admin_service::page(const http_request& request)
{
    const std::string_view path = request.path();
    if (path == "/healthz")
        return text_response(200, "ok\n");
    if (path == "/readyz")
        return readiness();
    if (path == "/metrics")
        return text_response(200, core_.metrics().text());
    if (path == "/status")
        return status();
    if (path == "/timeline")
        return timeline(request);
    return json_response(404, R"({"error":{"code":"no_such_page"}})");
}

http_response admin_service::readiness() const
{
    if (core_.is_draining())
        return text_response(503, "draining\n");
    for (const std::function<std::string()>& check : readiness_checks_)
    {
        const std::string reason = check();
        if (!reason.empty())
            return text_response(503, reason + "\n");
    }
    return text_response(200, "ready\n");
}

http_response admin_service::status() const
{
    nlohmann::json page = {{"process", core_.id()},
                           {"role", core_.role()},
                           {"host", core_.settings().host},
                           {"draining", core_.is_draining()}};
    for (const auto& [member, json] : status_members_)
        page[member] = nlohmann::json::parse(json(), nullptr, false);
    return json_response(200, page.dump());
}

http_response admin_service::timeline(const http_request& request) const
{
    const std::string after = request.query("after");
    const result<hybrid_timestamp> start = hybrid_timestamp::parse(after);
    nlohmann::json events = nlohmann::json::array();
    for (const event& entry : core_.journal_view().events())
    {
        if (!start || start.value() < entry.time)
            events.push_back(event_json(entry));
    }
    const nlohmann::json page = {{"process", core_.id()},
                                 {"host", core_.settings().host},
                                 {"dropped", core_.journal_view().dropped()},
                                 {"events", std::move(events)}};
    return json_response(
        200,
        page.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

} // namespace hibiscusferry
