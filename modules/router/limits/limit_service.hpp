#ifndef HIBISCUSFERRY_ROUTER_LIMITS_LIMIT_SERVICE_HPP
#define HIBISCUSFERRY_ROUTER_LIMITS_LIMIT_SERVICE_HPP

#include "admission/admission.hpp"
#include "runtime/runtime.hpp"
#include <string>

namespace hibiscusferry
{

/** Keeps workspaces' rates over all entry hosts: carries out what the
    workspace_limits decide.

    Usage goes to the controllers that sum it, by a layout made from the host
    list; the demand over all hosts comes back.
*/
class limit_service final : public kernel_service
{
public:
    static constexpr const char* name = "limits";

    explicit limit_service(process_core& core);

    /** Decides on a request as it arrives, and counts its cost.
        @param cost  in weighted tokens */
    limit_decision admit(const std::string& service,
                         const std::string& workspace, queue_lane lane,
                         double cost);

    result<void> start() override;
    void stop() override;

private:
    void take_hosts(const host_list_service& hosts);
    void report();

    process_core& core_;
    peer_service* peers_ = nullptr;
    workspace_limits limits_;
    share_layout layout_;
};

} // namespace hibiscusferry

#endif
