#ifndef HIBISCUSFERRY_ROUTER_LIMITS_LIMIT_SERVICE_HPP
#define HIBISCUSFERRY_ROUTER_LIMITS_LIMIT_SERVICE_HPP

#include "admission/admission.hpp"
#include "runtime/runtime.hpp"
#include <string>

namespace hibiscusferry
{

/** Enforces the rate limits of workspaces across all entry hosts by executing
    the decisions of workspace_limits.

    Sends usage reports to the controllers that aggregate them, assigned by a
    layout derived from the host list, and receives the total demand of all
    hosts.
*/
class limit_service final : public kernel_service
{
public:
    static constexpr const char* name = "limits";

    explicit limit_service(process_core& core);

    /** Decides whether to admit an arriving request, and records its cost.
        @param cost  in weighted tokens */
    limit_decision admit(const std::string& service,
                         const std::string& workspace, queue_lane lane,
                         double cost);

    result<void> start() override;
    void stop() override;

private:
    void update_hosts(const host_list_service& hosts);
    void report();

    process_core& core_;
    peer_service* peers_ = nullptr;
    workspace_limits limits_;
    share_layout layout_;
};

} // namespace hibiscusferry

#endif
