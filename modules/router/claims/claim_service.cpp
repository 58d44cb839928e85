#include "router/claims/claim_service.hpp"

#include <nlohmann/json.hpp>

namespace hibiscusferry
{

namespace
{

constexpr std::chrono::milliseconds claim_tick_interval{5};
constexpr std::chrono::milliseconds status_call_timeout{2000};
constexpr std::size_t max_status_bytes = 8U << 20;

/** Returns the path of a status query, with {key} replaced by the encoded
    idempotency key. */
std::string status_path(std::string pattern, const std::string& key)
{
    constexpr std::string_view placeholder = "{key}";
    const std::size_t position = pattern.find(placeholder);
    if (position == std::string::npos)
        return {};
    return pattern.replace(position, placeholder.size(), url_encode(key));
}

/** The status of a call as reported by its target. */
struct status_report
{
    call_status status = call_status::no_answer;
    stored_response answer;
};

status_report parse_status(const http_response& response)
{
    const nlohmann::json parsed =
        nlohmann::json::parse(response.body, nullptr, false);
    const bool is_status = response.status == 200 && parsed.is_object() &&
                           parsed.contains("state") &&
                           parsed["state"].is_string();
    if (!is_status)
        return {};

    const std::string state = parsed["state"].get<std::string>();
    if (state == "running")
        return {call_status::running, {}};
    if (state == "absent")
        return {call_status::absent, {}};
    if (state != "done" || !parsed.contains("status") ||
        !parsed["status"].is_number_integer() || !parsed.contains("body"))
        return {};

    status_report report;
    report.status = call_status::done;
    report.answer.status = parsed["status"].get<int>();
    report.answer.headers = {{"Content-Type", "application/json"}};
    report.answer.body = parsed["body"].is_string()
                             ? parsed["body"].get<std::string>()
                             : parsed["body"].dump();
    return report;
}

} // namespace

claim_service::claim_service(process_core& core)
    : core_(core)
    , registry_(core.id(), claim_limits{})
    , batcher_(batch_limits{})
{
}

std::optional<call_response>
claim_service::begin(const claim_call& call, boost::asio::yield_context yield)
{
    calls_[call.call_id] = {};
    carry_out(registry_.call_received(call, core_.now()));
    wait(call.call_id, yield);
    const std::optional<call_response> answer = calls_[call.call_id].answer;
    if (answer)
        calls_.erase(call.call_id);
    return answer;
}

call_response claim_service::await_response(const std::string& call_id,
                                            boost::asio::yield_context yield)
{
    calls_[call_id].may_start = false;
    wait(call_id, yield);
    const call_response answer = *calls_[call_id].answer;
    calls_.erase(call_id);
    return answer;
}

void claim_service::call_completed(const std::string& call_id,
                                   const stored_response& answer)
{
    carry_out(registry_.call_completed(call_id, answer, core_.now()));
}

void claim_service::call_not_run(const std::string& call_id)
{
    carry_out(registry_.call_not_run(call_id, core_.now()));
}

void claim_service::call_interrupted(const std::string& call_id)
{
    carry_out(registry_.call_interrupted(call_id, core_.now()));
}

result<void> claim_service::start()
{
    const result<platform_adapters*> platform =
        core_.services().find<platform_adapters>(platform_adapters::name);
    const result<service_directory*> directory =
        core_.services().find<service_directory>(service_directory::name);
    const result<admin_service*> admin =
        core_.services().find<admin_service>(admin_service::name);
    if (!platform || !directory || !admin)
        return make_error_code(kernel_error::not_found);

    table_ = &platform.value()->table();
    objects_ = &platform.value()->objects();
    directory_ = directory.value();
    admin.value()->add_status("claims", [this] { return status(); });
    registry_.set_wall_time(core_.time().wall_time(), core_.now());
    core_.repeat(claim_tick_interval, [this] { tick(); });
    return outcome::success();
}

void claim_service::drain(std::function<void()> finished)
{
    start_task(core_.context(),
               [this, finished](boost::asio::yield_context yield)
               {
                   while (registry_.calls_in_flight() > 0 || !calls_.empty())
                       sleep_for(core_.context(), claim_tick_interval, yield);
                   finished();
               });
}

void claim_service::stop()
{
}

void claim_service::wait(const std::string& call_id,
                         boost::asio::yield_context yield)
{
    boost::asio::steady_timer timer(core_.context());
    calls_[call_id].timer = &timer;
    while (!calls_[call_id].may_start && !calls_[call_id].answer)
    {
        timer.expires_at(boost::asio::steady_timer::time_point::max());
        boost::system::error_code ignored;
        timer.async_wait(yield[ignored]);
    }
    calls_[call_id].timer = nullptr;
}

void claim_service::wake(const std::string& call_id)
{
    const auto call = calls_.find(call_id);
    if (call != calls_.end() && call->second.timer != nullptr)
        call->second.timer->cancel();
}

void claim_service::tick()
{
    const time_point now = core_.now();
    if (registry_.next_wake() <= now)
    {
        registry_.set_wall_time(core_.time().wall_time(), now);
        carry_out(registry_.tick(now));
    }
    if (batcher_.next_wake() <= now)
        carry_out(batcher_.tick(now));
}

void claim_service::carry_out(const claim_registry::actions& actions)
{
    for (const claim_action& action : actions)
        std::visit([this](const auto& step) { carry_out(step); }, action);
}

void claim_service::carry_out(const call_response& action)
{
    const auto call = calls_.find(action.call_id);
    if (call == calls_.end())
        return;
    call->second.answer = action;
    wake(action.call_id);
}

void claim_service::carry_out(const start_call& action)
{
    const auto call = calls_.find(action.call_id);
    if (call == calls_.end())
        return;
    call->second.may_start = true;
    wake(action.call_id);
}

void claim_service::carry_out(const update_claim& action)
{
    carry_out(batcher_.submit(action.update, core_.now()));
}

void claim_service::carry_out(const read_claim& action)
{
    table_->read(action.row_key, platform_adapters::call_timeout,
                 [this, key = action.row_key](const result<table_row>& row)
                 { carry_out(registry_.row_read(key, row, core_.now())); });
}

void claim_service::carry_out(const query_call_status& action)
{
    start_task(core_.context(), [this, action](boost::asio::yield_context yield)
               { query_status(action, yield); });
}

void claim_service::query_status(const query_call_status& action,
                                 boost::asio::yield_context yield)
{
    status_report report;
    const std::shared_ptr<served_service> service =
        directory_->find(action.name.service);
    if (service)
    {
        // The claim does not name its rule, so this takes the first rule with
        // a status path; a service has few rules.
        for (const not_repeatable_rule& rule :
             service->document().not_repeatable)
        {
            const result<target_selection> selection =
                service->selector().choose(service->targets(), nullptr, {},
                                           core_.now());
            if (rule.status_path.empty() || !selection)
                continue;
            const std::optional<http_endpoint> endpoint =
                service->endpoint_of(selection.value().target);
            const http_request request{
                "GET",
                status_path(rule.status_path, action.name.idempotency_key)};
            const result<http_response> response =
                http_call(core_.connections(), *endpoint, request,
                          status_call_timeout, max_status_bytes, yield);
            if (response)
                report = parse_status(response.value());
            break;
        }
    }
    carry_out(registry_.call_status_received(action.row_key, report.status,
                                             report.answer, core_.now()));
}

void claim_service::carry_out(const store_body& action)
{
    objects_->write(
        action.object_name, action.bytes, platform_adapters::call_timeout,
        [this, key = action.row_key](const result<void>& written)
        { carry_out(registry_.body_stored(key, written, core_.now())); });
}

void claim_service::carry_out(const scan_claims& action)
{
    table_->scan(
        action.prefix, action.after, action.limit,
        platform_adapters::call_timeout,
        [this,
         prefix = action.prefix](const result<std::vector<table_row>>& rows)
        { carry_out(registry_.rows_scanned(prefix, rows, core_.now())); });
}

void claim_service::carry_out(const claim_event& action)
{
    core_.journal().record(action.number,
                           {{"service", action.name.service},
                            {"customer", action.name.workspace},
                            {"request", action.claim_id},
                            {"key", action.name.idempotency_key}});
}

void claim_service::carry_out(const std::vector<batch_action>& actions)
{
    for (const batch_action& action : actions)
        std::visit([this](const auto& step) { carry_out(step); }, action);
}

void claim_service::carry_out(const batch_step& action)
{
    if (const commit_step* const commit =
            std::get_if<commit_step>(&action.step))
    {
        table_->commit(commit->transaction, platform_adapters::call_timeout,
                       [this, batch = action.batch](
                           const result<commit_receipt>& receipt) {
                           carry_out(batcher_.commit_completed(batch, receipt,
                                                               core_.now()));
                       });
        return;
    }
    const read_step& read = std::get<read_step>(action.step);
    table_->read(
        read.key, platform_adapters::call_timeout,
        [this, batch = action.batch](const result<table_row>& row)
        { carry_out(batcher_.read_completed(batch, row, core_.now())); });
}

void claim_service::carry_out(const update_outcome& outcome)
{
    carry_out(registry_.update_completed(outcome, core_.now()));
}

std::string claim_service::status() const
{
    return nlohmann::json{{"open", registry_.calls_in_flight()},
                          {"observed", registry_.observed_claims()},
                          {"store_commits", batcher_.commits_sent()}}
        .dump();
}

} // namespace hibiscusferry
