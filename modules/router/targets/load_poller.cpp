#include "router/targets/load_poller.hpp"

#include <nlohmann/json.hpp>

namespace hibiscusferry
{

namespace
{

constexpr std::chrono::milliseconds poll_tick_interval{100};
constexpr std::chrono::milliseconds load_call_timeout{1000};
constexpr std::size_t max_load_report_bytes = 64U << 10;

template <class Value>
Value number_of(const nlohmann::json& report, const char* key)
{
    const bool is_present =
        report.contains(key) && report[key].is_number_unsigned();
    return is_present ? report[key].get<Value>() : Value(0);
}

std::string text_of(const nlohmann::json& report, const char* key)
{
    const bool is_present = report.contains(key) && report[key].is_string();
    return is_present ? report[key].get<std::string>() : std::string();
}

} // namespace

load_report parse_load_report(const http_response& response)
{
    load_report report;
    const nlohmann::json parsed =
        nlohmann::json::parse(response.body, nullptr, false);
    if (response.status != 200 || !parsed.is_object())
        return report;

    const std::string role = text_of(parsed, "role");
    if (role == "prefill")
        report.role = target_role::prefill;
    else if (role == "decode")
        report.role = target_role::decode;
    const std::string state = text_of(parsed, "state");
    if (state == "changing")
        report.state = target_state::changing;
    else if (state == "leaving")
        report.state = target_state::leaving;
    report.waiting_prefill_tokens =
        number_of<std::uint64_t>(parsed, "waiting_prefill_tokens");
    report.active_streams = number_of<std::uint32_t>(parsed, "active_streams");
    report.free_kv_tokens = number_of<std::uint64_t>(parsed, "free_kv_tokens");
    report.age = std::chrono::milliseconds(
        number_of<std::uint32_t>(parsed, "report_age_ms"));
    return report;
}

load_poller::load_poller(process_core& core)
    : core_(core)
{
}

result<void> load_poller::start()
{
    const result<service_directory*> directory =
        core_.services().find<service_directory>(service_directory::name);
    if (!directory)
        return directory.error();
    directory_ = directory.value();
    core_.repeat(poll_tick_interval, [this] { poll_due_targets(); });
    return outcome::success();
}

void load_poller::stop()
{
}

void load_poller::poll_due_targets()
{
    for (const std::shared_ptr<served_service>& service : directory_->all())
    {
        for (const std::string& target :
             service->targets().targets_due_for_poll(core_.now()))
            poll(service, target);
        service->gate().capacity_changed();
    }
}

void load_poller::poll(const std::shared_ptr<served_service>& service,
                       const std::string& target)
{
    const std::optional<http_endpoint> endpoint = service->endpoint_of(target);
    if (!endpoint)
        return;
    const time_point requested_at = core_.now();
    http_call(core_.context(), core_.connections(), *endpoint,
              {"GET", "/v1/load"}, load_call_timeout, max_load_report_bytes,
              [this, service, target, endpoint,
               requested_at](const result<http_response>& response)
              {
                  if (response)
                  {
                      service->targets().report(
                          target, parse_load_report(response.value()),
                          requested_at, core_.now());
                      return;
                  }
                  // Idle connections to an unresponsive target may be dead too.
                  core_.connections().forget(*endpoint);
                  if (service->targets().attempt_failed(target, core_.now()))
                      core_.journal().record(
                          event_number::target_out,
                          {{"service", service->name()},
                           {"target", target},
                           {"reason", response.error().message()}});
              });
}

} // namespace hibiscusferry
