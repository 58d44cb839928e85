#include "router/claims/claim_service.hpp"

#include <nlohmann/json.hpp>

namespace hibiscusferry
{

namespace
{

constexpr std::chrono::milliseconds claim_tick{5};
constexpr std::chrono::milliseconds status_call_limit{2000};
constexpr std::size_t status_byte_limit = 8U << 20;

/** The path of a status look-up: {key} replaced by the encoded key. */
std::string status_path(std::string pattern, const std::string& key)
{
    constexpr std::string_view place = "{key}";
    const std::size_t at = pattern.find(place);
    if (at == std::string::npos)
        return {};
    return pattern.replace(at, place.size(), url_encode(key));
}

/** A target's word on a call. */
struct status_reading
{
    call_status status = call_status::no_answer;
    stored_response answer;
};

status_reading read_status(const http_response& response)
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

    status_reading reading;
    reading.status = call_status::done;
    reading.answer.status = parsed["status"].get<int>();
    reading.answer.headers = {{"Content-Type", "application/json"}};
    reading.answer.body = parsed["body"].is_string()
                              ? parsed["body"].get<std::string>()
                              : parsed["body"].dump();
    return reading;
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

call_response claim_service::await_answer(const std::string& call_id,
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
    core_.repeat(claim_tick, [this] { tick(); });
    return outcome::success();
}

void claim_service::drain(std::function<void()> finished)
{
    start_task(core_.context(),
               [this, finished](boost::asio::yield_context yield)
               {
                   while (registry_.calls_in_flight() > 0 || !calls_.empty())
                       sleep_for(core_.context(), claim_tick, yield);
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
    const auto found = calls_.find(call_id);
    if (found != calls_.end() && found->second.timer != nullptr)
        found->second.timer->cancel();
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

void claim_service::carry_out(const claim_registry::actions& wanted)
{
    for (const claim_action& action : wanted)
        std::visit([this](const auto& step) { carry_out(step); }, action);
}

void claim_service::carry_out(const call_response& wanted)
{
    const auto found = calls_.find(wanted.call_id);
    if (found == calls_.end())
        return;
    found->second.answer = wanted;
    wake(wanted.call_id);
}

void claim_service::carry_out(const start_call& wanted)
{
    const auto found = calls_.find(wanted.call_id);
    if (found == calls_.end())
        return;
    found->second.may_start = true;
    wake(wanted.call_id);
}

void claim_service::carry_out(const update_claim& wanted)
{
    carry_out(batcher_.submit(wanted.update, core_.now()));
}

void claim_service::carry_out(const read_claim& wanted)
{
    table_->read(wanted.row_key, platform_adapters::call_limit,
                 [this, key = wanted.row_key](const result<table_row>& answer)
                 { carry_out(registry_.row_read(key, answer, core_.now())); });
}

void claim_service::carry_out(const query_call_status& wanted)
{
    start_task(core_.context(), [this, wanted](boost::asio::yield_context yield)
               { look_up(wanted, yield); });
}

void claim_service::look_up(const query_call_status& wanted,
                            boost::asio::yield_context yield)
{
    status_reading reading;
    const std::shared_ptr<served_service> service =
        directory_->find(wanted.name.service);
    if (service)
    {
        // The rule is found by what it may not repeat; services have few.
        for (const not_repeatable_rule& rule :
             service->document().not_repeatable)
        {
            const result<target_selection> chosen = service->picker().choose(
                service->targets(), nullptr, {}, core_.now());
            if (rule.status_path.empty() || !chosen)
                continue;
            const std::optional<http_endpoint> endpoint =
                service->endpoint_of(chosen.value().target);
            const http_request request{
                "GET",
                status_path(rule.status_path, wanted.name.idempotency_key)};
            const result<http_response> answer =
                http_call(core_.connections(), *endpoint, request,
                          status_call_limit, status_byte_limit, yield);
            if (answer)
                reading = read_status(answer.value());
            break;
        }
    }
    carry_out(registry_.call_status_received(wanted.row_key, reading.status,
                                             reading.answer, core_.now()));
}

void claim_service::carry_out(const store_body& wanted)
{
    objects_->write(
        wanted.object_name, wanted.bytes, platform_adapters::call_limit,
        [this, key = wanted.row_key](const result<void>& answer)
        { carry_out(registry_.body_stored(key, answer, core_.now())); });
}

void claim_service::carry_out(const scan_claims& wanted)
{
    table_->scan(
        wanted.prefix, wanted.after, wanted.limit,
        platform_adapters::call_limit,
        [this,
         prefix = wanted.prefix](const result<std::vector<table_row>>& rows)
        { carry_out(registry_.rows_scanned(prefix, rows, core_.now())); });
}

void claim_service::carry_out(const claim_event& wanted)
{
    core_.journal().record(wanted.number,
                           {{"service", wanted.name.service},
                            {"customer", wanted.name.workspace},
                            {"request", wanted.claim_id},
                            {"key", wanted.name.idempotency_key}});
}

void claim_service::carry_out(const std::vector<batch_action>& wanted)
{
    for (const batch_action& action : wanted)
        std::visit([this](const auto& step) { carry_out(step); }, action);
}

void claim_service::carry_out(const batch_step& wanted)
{
    if (const commit_step* const commit =
            std::get_if<commit_step>(&wanted.step))
    {
        table_->commit(
            commit->transaction, platform_adapters::call_limit,
            [this, batch = wanted.batch](const result<commit_receipt>& answer) {
                carry_out(
                    batcher_.commit_completed(batch, answer, core_.now()));
            });
        return;
    }
    const read_step& read = std::get<read_step>(wanted.step);
    table_->read(
        read.key, platform_adapters::call_limit,
        [this, batch = wanted.batch](const result<table_row>& answer)
        { carry_out(batcher_.read_completed(batch, answer, core_.now())); });
}

void claim_service::carry_out(const update_outcome& wanted)
{
    carry_out(registry_.update_completed(wanted, core_.now()));
}

std::string claim_service::status() const
{
    return nlohmann::json{{"open", registry_.calls_in_flight()},
                          {"observed", registry_.observed_claims()},
                          {"store_commits", batcher_.commits_sent()}}
        .dump();
}

} // namespace hibiscusferry
