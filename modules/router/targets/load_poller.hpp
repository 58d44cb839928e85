#ifndef HIBISCUSFERRY_ROUTER_TARGETS_LOAD_POLLER_HPP
#define HIBISCUSFERRY_ROUTER_TARGETS_LOAD_POLLER_HPP

#include "router/service/service_directory.hpp"

namespace hibiscusferry
{

/** Polls the load of the targets in this router's subsets. The poll is also
    the liveness probe of quarantined targets. */
class load_poller final : public kernel_service
{
public:
    static constexpr const char* name = "load_poller";

    explicit load_poller(process_core& core);

    result<void> start() override;
    void stop() override;

private:
    void poll_due_targets();
    void poll(const std::shared_ptr<served_service>& service,
              const std::string& target);

    process_core& core_;
    service_directory* directory_ = nullptr;
};

/** Parses a target's response to GET /v1/load. A response in another format
    comes from a target that does not report its load; such a target counts as
    serving. */
load_report parse_load_report(const http_response& response);

} // namespace hibiscusferry

#endif
