#include "gateway/gateway.hpp"
#include "platform/platform_adapter.hpp"
#include <csignal>
#include <gflags/gflags.h>
#include <glog/logging.h>
#include <iostream>
#include <malloc.h>
#include <unistd.h>

DECLARE_bool(check_settings);

namespace
{

using namespace hibiscusferry;

/** Capacity of the buffer that holds log lines while the reader of standard
    output is slow. */
constexpr std::size_t log_capacity_bytes = 256U << 10;
/** Blocks of this size are returned to the system as soon as they are freed. */
constexpr int mapped_block_bytes = 256 << 10;
constexpr std::uint32_t timeline_capacity = 512;

/** Runs as soon as the program has been loaded, before the constructors of the
    libraries. */
void block_signals_at_start(int, char**, char**)
{
    block_signals({SIGHUP, SIGTERM, SIGINT});
}

using start_function = void (*)(int, char**, char**);
[[gnu::section(".preinit_array"), gnu::used]] start_function first_function =
    block_signals_at_start;

process_settings core_settings(const host_settings& host)
{
    process_settings settings;
    settings.host = host.host;
    settings.region = host.region;
    settings.availability_zone = host.availability_zone;
    settings.drain_timeout = host.stop_grace_period;
    settings.timeline_events = timeline_capacity;
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

    kernel& services = core.services();
    const auto add =
        [&services](const char* name, std::unique_ptr<kernel_service> service)
    {
        return services.add(name, std::move(service)).has_value();
    };
    std::unique_ptr<state_follower> follower = std::make_unique<state_follower>(
        core, fleet, state_follower::source_set{store, store, rows});
    state_follower& follower_ref = *follower;
    std::unique_ptr<datagram_channel> datagrams =
        std::make_unique<datagram_channel>(
            core, datagram_endpoint(settings.address, settings.peer_port));
    datagram_channel& datagrams_ref = *datagrams;
    std::unique_ptr<load_exchange> exchange = std::make_unique<load_exchange>(
        core, fleet, follower_ref, datagrams_ref);
    load_exchange& exchange_ref = *exchange;
    std::unique_ptr<stream_version_directory> stream_versions =
        std::make_unique<stream_version_directory>(
            core, settings.host, follower_ref.directory(), datagrams_ref);
    std::unique_ptr<crash_directory> crashes =
        std::make_unique<crash_directory>(
            core, settings.host, follower_ref.directory(), datagrams_ref);
    crash_directory& crashes_ref = *crashes;
    std::unique_ptr<fleet_authority> authority =
        std::make_unique<fleet_authority>(core, fleet, follower_ref,
                                          exchange_ref, store);
    const fleet_authority& authority_ref = *authority;
    const platform::duty_calls duty_calls;
    const bool orders_targets =
        settings.duties && settings.duties->orders_targets;
    std::unique_ptr<duty_caller> caller;
    std::unique_ptr<usage_service> usage;
    if (settings.duties)
        caller = std::make_unique<duty_caller>(core, fleet, authority_ref,
                                               duty_calls);
    if (settings.duties && settings.duties->reports_usage)
        usage = std::make_unique<usage_service>(
            usage_service::dependencies{core, fleet, follower_ref, exchange_ref,
                                        datagrams_ref, store, authority_ref,
                                        duty_calls},
            *settings.duties, *caller);
    gateway_services dependencies{
        core, fleet, callers, targets, *stream_versions, crashes_ref};
    dependencies.usage = usage.get();
    const bool are_services_added =
        add(metrics_service::name,
            std::make_unique<metrics_service>(core, fleet, log, crashes_ref)) &&
        add(settings_watch::name,
            std::make_unique<settings_watch>(core, fleet, source)) &&
        add(state_follower::name, std::move(follower)) &&
        add(datagram_channel::name, std::move(datagrams)) &&
        add(stream_version_directory::name, std::move(stream_versions)) &&
        add(crash_directory::name, std::move(crashes)) &&
        add(load_exchange::name, std::move(exchange)) &&
        add(gateway_service::name,
            std::make_unique<gateway_service>(dependencies)) &&
        add(fleet_authority::name, std::move(authority)) &&
        add(stage_controller::name,
            std::make_unique<stage_controller>(dependencies, authority_ref)) &&
        (!usage || add(usage_service::name, std::move(usage))) &&
        (!orders_targets ||
         add(capacity_service::name, std::make_unique<capacity_service>(
                                         dependencies, exchange_ref,
                                         authority_ref, duty_calls, *caller)));
    if (!are_services_added)
    {
        std::cerr << "hibiscusferry: two services have the same name\n";
        return 1;
    }
    core.start_services();
    core.run();
    log.flush();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    prepare_process_environment();
    // By default, glibc raises the threshold to the size of the largest block
    // that was released. Later bodies then stay on the heap, which is not
    // returned to the system.
    ::mallopt(M_MMAP_THRESHOLD, mapped_block_bytes);
    ::mallopt(M_TRIM_THRESHOLD, mapped_block_bytes);
    FLAGS_logtostderr = true;
    gflags::SetUsageMessage("[--check_settings]; the path of the settings file "
                            "is read from HIBISCUSFERRY_SETTINGS");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    google::InitGoogleLogging(argv[0]);
    result<platform::settings_file> source =
        platform::settings_file::from_environment();
    if (!source)
    {
        std::cerr << argv[0] << ": HIBISCUSFERRY_SETTINGS is not set\n";
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
        std::cout << "settings are valid\n";
        return 0;
    }
    return run(source.value(), settings.value());
}
