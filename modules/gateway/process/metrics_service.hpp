#ifndef HIBISCUSFERRY_GATEWAY_PROCESS_METRICS_SERVICE_HPP
#define HIBISCUSFERRY_GATEWAY_PROCESS_METRICS_SERVICE_HPP

#include "gateway/crashes/crash_directory.hpp"
#include "gateway/state/fleet_state.hpp"
#include <memory>

namespace hibiscusferry
{

/** Flushes the log and serves the metrics page, and the page of the suspected
    prompt blocks. A slow reader of any of them never blocks the process. */
class metrics_service final : public kernel_service
{
public:
    static constexpr const char* name = "metrics";

    metrics_service(process_core& core, const fleet_state& fleet,
                    log_writer& log, crash_directory& crashes);

    result<void> start() override;
    void stop() override;

private:
    void listen();
    http_response serve(const http_request& request);

    process_core& core_;
    const fleet_state& fleet_;
    log_writer& log_;
    crash_directory& crashes_;
    /** Null until the address is available. */
    std::unique_ptr<http_server> server_;
};

} // namespace hibiscusferry

#endif
