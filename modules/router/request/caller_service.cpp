#include "router/request/caller_service.hpp"

#include <glog/logging.h>

namespace hibiscusferry
{

namespace
{

constexpr std::chrono::milliseconds drain_check_interval{20};
constexpr std::chrono::seconds draining_retry_after{1};
constexpr std::size_t max_idempotency_key_bytes = 255;

caller_error refusal(unsigned status, const std::string& code,
                     const std::string& message)
{
    return {status, code, call_outcome::not_run, message, {}};
}

bool is_model_call(const service_document& document,
                   const caller_request& request)
{
    if (document.kind != service_kind::model ||
        request.message.method != "POST")
        return false;
    const std::string path =
        request.target_path.substr(0, request.target_path.find('?'));
    return path == "/v1/chat/completions" || path == "/v1/completions";
}

} // namespace

caller_service::caller_service(process_core& core)
    : core_(core)
    , runner_(core, ledger_)
{
}

result<void> caller_service::start()
{
    const result<service_directory*> directory =
        core_.services().find<service_directory>(service_directory::name);
    const result<claim_service*> claims =
        core_.services().find<claim_service>(claim_service::name);
    const result<limit_service*> limits =
        core_.services().find<limit_service>(limit_service::name);
    if (!directory || !claims || !limits)
        return make_error_code(kernel_error::not_found);
    directory_ = directory.value();
    context_ = std::make_unique<handler_context>(handler_context{
        core_, ledger_, runner_, *claims.value(), *limits.value()});

    const address_setting& listen_address = core_.settings().callers;
    result<std::unique_ptr<http_server>> server = http_server::listen(
        core_.context(), {listen_address.address, listen_address.port}, {},
        [this](http_exchange& exchange, boost::asio::yield_context yield)
        { serve(exchange, yield); });
    if (!server)
    {
        LOG(ERROR) << "cannot listen for callers on " << listen_address.address
                   << ":" << listen_address.port;
        return server.error();
    }
    server_ = std::move(server.value());
    return outcome::success();
}

void caller_service::drain(std::function<void()> finished)
{
    start_task(core_.context(),
               [this, finished](boost::asio::yield_context yield)
               {
                   sleep_for(core_.context(), core_.settings().drain_grace,
                             yield);
                   is_draining_ = true;
                   server_->close_after_responses();
                   while (server_->active_exchanges() > 0)
                       sleep_for(core_.context(), drain_check_interval, yield);
                   finished();
               });
}

void caller_service::stop()
{
    server_->close();
}

void caller_service::serve(http_exchange& exchange,
                           boost::asio::yield_context yield)
{
    caller_request request;
    request.id = core_.identifiers().next();
    request.received_at = core_.now();
    request.message = exchange.request();
    std::optional<model_call> model;
    const std::optional<caller_error> problem =
        check(exchange.request(), request, model);
    if (problem)
    {
        core_.journal().record(event_number::request_refused,
                               {{"request", request.id},
                                {"service", request.service},
                                {"code", problem->code},
                                {"outcome", "not_run"}});
        const result<void> ignored =
            exchange.respond(to_response(*problem, request.id), yield);
        static_cast<void>(ignored);
        return;
    }
    core_.journal().record(event_number::request_received,
                           {{"request", request.id},
                            {"service", request.service},
                            {"customer", request.workspace},
                            {"class", request.priority.name}});
    const std::shared_ptr<served_service> service =
        directory_->find(request.service);
    request_handler handler(*context_, service, std::move(request),
                            std::move(model), exchange);
    handler.run(yield);
}

std::optional<caller_error>
caller_service::check(const http_request& message, caller_request& request,
                      std::optional<model_call>& model)
{
    if (is_draining_)
    {
        caller_error error = refusal(503, "draining", "this host is draining");
        error.retry_after = draining_retry_after;
        return error;
    }
    const service_path path = parse_service_path(message.target);
    request.service = path.service;
    request.target_path = path.rest;
    const std::shared_ptr<served_service> service =
        directory_->find(path.service);
    if (!service)
        return refusal(404, "unknown_service",
                       "no such service; paths are /services/NAME/...");

    const service_document& document = service->document();
    if (message.body.size() > document.limits.body_bytes)
        return refusal(413, "body_too_large",
                       "the request body exceeds the limit of " +
                           std::to_string(document.limits.body_bytes) +
                           " bytes");
    std::optional<caller_error> problem = identify(document, request);
    if (!problem)
        problem = classify(document, request);
    if (problem || !is_model_call(document, request))
        return problem;

    const result<model_call> parsed = model_call::parse(message.body);
    if (!parsed)
        return refusal(400, "bad_model_call",
                       "the body must be a JSON object with messages or a "
                       "prompt");
    model = parsed.value();
    return std::nullopt;
}

std::optional<caller_error>
caller_service::identify(const service_document& document,
                         caller_request& request)
{
    const std::string key =
        bearer_key(request.message.headers.value("Authorization"));
    const workspace_entry* const workspace =
        key.empty() ? nullptr : workspace_of(document, sha256_hex(key));
    if (workspace == nullptr)
        return refusal(401, "unknown_customer",
                       "send a workspace key as Authorization: Bearer KEY");
    request.workspace = workspace->name;
    return std::nullopt;
}

std::optional<caller_error>
caller_service::classify(const service_document& document,
                         caller_request& request)
{
    const request_traits traits{
        request.message.method,
        request.target_path.substr(0, request.target_path.find('?')),
        std::string(request.message.headers.value("X-Request-Class"))};
    request.priority = class_of(document, traits);
    request.deadline = request.received_at + request.priority.deadline;
    request.rule = not_repeatable_rule_of(document, traits);
    request.is_idempotent = is_idempotent(document, traits);
    request.idempotency_key =
        std::string(request.message.headers.value("Idempotency-Key"));
    if (request.idempotency_key.size() > max_idempotency_key_bytes)
        return refusal(400, "idempotency_key_too_long",
                       "an Idempotency-Key may have at most 255 bytes");
    if (request.rule != nullptr && request.idempotency_key.empty())
        return refusal(400, "idempotency_key_missing",
                       "this request may run only once and requires an "
                       "Idempotency-Key");
    return std::nullopt;
}

} // namespace hibiscusferry
