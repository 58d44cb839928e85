#ifndef HIBISCUSFERRY_ROUTER_TARGETS_LOAD_POLLER_HPP
#define HIBISCUSFERRY_ROUTER_TARGETS_LOAD_POLLER_HPP

#include "router/service/service_directory.hpp"

namespace hibiscusferry
{

/** Asks the targets of this router's subsets for their load, which is also
    the liveness probe of targets that are out. */
class load_poller final : public kernel_service
{
public:
    static constexpr const char* name = "load_poller";

    explicit load_poller(process_core& core);

    result<void> start() override;
    void stop() override;

private:
    void poll_due();
    void ask(const std::shared_ptr<served_service>& service,
             const std::string& target);

    process_core& core_;
    service_directory* directory_ = nullptr;
};

/** Reads a target's answer to GET /v1/load. An answer of another form comes
    from a target that does not tell its load: it counts as serving. */
load_report read_load_report(const http_response& answer);

} // namespace hibiscusferry

#endif
