#ifndef HIBISCUSFERRY_CONTROLLER_SHARES_SHARE_SERVICE_HPP
#define HIBISCUSFERRY_CONTROLLER_SHARES_SHARE_SERVICE_HPP

#include "admission/admission.hpp"
#include "controller/membership/membership_service.hpp"
#include "runtime/runtime.hpp"
#include <map>
#include <string>

namespace hibiscusferry
{

/** Aggregates the usage of workspaces reported by routers, by executing the
    decisions of the share_aggregator. */
class share_service final : public kernel_service
{
public:
    static constexpr const char* name = "shares";

    explicit share_service(process_core& core);

    result<void> start() override;
    void stop() override;

private:
    void handle_report(const std::string& process, const usage_report& report);
    void tick();
    void send(const addressed_response& message);

    process_core& core_;
    peer_service* peers_ = nullptr;
    membership_service* membership_ = nullptr;
    share_aggregator aggregator_;
    /** The router process of each reporting host, by host. */
    std::map<std::string, std::string> routers_;
};

} // namespace hibiscusferry

#endif
