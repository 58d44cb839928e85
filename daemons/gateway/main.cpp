#include "gateway/gateway.hpp"
#include "platform/platform_adapter.hpp"
#include <gflags/gflags.h>
#include <glog/logging.h>
#include <iostream>
#include <unistd.h>

DECLARE_bool(check_settings);

namespace
{

using namespace hibiscusferry;

/** Lines of the log that may wait for a slow reader. */
constexpr std::size_t log_capacity_bytes = 256U << 10;
constexpr std::uint32_t kept_events = 512;

process_settings core_settings(const host_settings& host)
{
    process_settings settings;
    settings.host = host.host;
    settings.region = host.region;
    settings.availability_zone = host.availability_zone;
    settings.drain_timeout = host.stop_grace;
    settings.timeline_events = kept_events;
    return settings;
}

int run(platform::settings_file& source, const host_settings& settings)
{
    log_writer log(STDOUT_FILENO, log_capacity_bytes);
    process_core core("gateway", core_settings(settings));
    core.set_log_writer(log);
    fleet_state fleet(core, settings);
    platform::metadata_store store(core.context(), core.connections(),
                                   settings.table_service);
    const platform::fleet_rows rows;
    const platform::ingress_protocol callers;
    const platform::server_protocol targets;
    const gateway_services shared{core, fleet, callers, targets};

    kernel& services = core.services();
    const auto add =
        [&services](const char* name, std::unique_ptr<kernel_service> service)
    {
        return services.add(name, std::move(service)).has_value();
    };
    std::unique_ptr<state_follower> follower = std::make_unique<state_follower>(
        core, fleet, state_follower::sources{store, store, rows});
    state_follower& followed = *follower;
    std::unique_ptr<load_exchange> exchange =
        std::make_unique<load_exchange>(core, fleet, followed);
    load_exchange& exchanged = *exchange;
    const bool is_complete =
        add(metrics_service::name,
            std::make_unique<metrics_service>(core, fleet, log)) &&
        add(settings_watch::name,
            std::make_unique<settings_watch>(core, fleet, source)) &&
        add(state_follower::name, std::move(follower)) &&
        add(load_exchange::name, std::move(exchange)) &&
        add(gateway_service::name, std::make_unique<gateway_service>(shared)) &&
        add(stage_controller::name, std::make_unique<stage_controller>(
                                        shared, followed, exchanged, store));
    const result<void> started = services.start();
    if (!is_complete || !started)
    {
        std::cerr << "hibiscusferry: cannot start " << services.failed_service()
                  << "\n";
        return 1;
    }
    core.run();
    log.flush();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    FLAGS_logtostderr = true;
    gflags::SetUsageMessage("[--check_settings]; the settings file is named "
                            "by the platform's environment variable");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    google::InitGoogleLogging(argv[0]);
    result<platform::settings_file> source =
        platform::settings_file::from_environment();
    if (!source)
    {
        std::cerr << argv[0] << ": no settings file is named\n";
        return 2;
    }
    const result<host_settings> settings = source.value().read();
    if (!settings)
    {
        std::cerr << argv[0] << ": " << source.value().problem() << "\n";
        return 2;
    }
    if (FLAGS_check_settings)
    {
        std::cout << "good\n";
        return 0;
    }
    return run(source.value(), settings.value());
}
