#ifndef HIBISCUSFERRY_ROUTER_CONTROL_CONTROL_SERVICE_HPP
#define HIBISCUSFERRY_ROUTER_CONTROL_CONTROL_SERVICE_HPP

#include "router/service/service_directory.hpp"
#include "runtime/runtime.hpp"
#include <map>
#include <string>

namespace hibiscusferry
{

/** Exchanges messages with the controllers on behalf of a router: renews its
    permissions, confirms stops, reports load, and queries how many hosts are
    reachable. */
class control_service final : public kernel_service
{
public:
    static constexpr const char* name = "control";

    explicit control_service(process_core& core);

    result<void> start() override;
    void stop() override;

private:
    /** A permission request without a response yet. */
    struct pending_request
    {
        std::string service;
        time_point requested_at;
    };

    /** The state of the exchange with the controllers about one service. */
    struct service_state
    {
        /** The host of the lease holder; empty when unknown. */
        std::string holder;
        time_point next_request;
        time_point next_report;
        /** In-flight requests of each stopped target at its last confirmation.
            A stop is confirmed again once these requests have finished. */
        std::map<std::string, std::size_t> confirmed_in_flight;
    };

    void tick();
    void query_reach();
    void handle_reach_reply(const reachability_reply& reply);
    void renew(const std::shared_ptr<served_service>& service,
               service_state& state);
    void request_permission(const std::string& service);
    void report(const std::shared_ptr<served_service>& service,
                service_state& state);
    void handle_announcement(const permission_reply& reply);
    void handle_holder_elsewhere(const holder_redirect& message);
    void handle_stop(const service_stop& message);
    void confirm(const std::shared_ptr<served_service>& service,
                 const std::string& target);
    void confirm_drained(const std::shared_ptr<served_service>& service,
                         service_state& state);
    void send_to_holder(const std::string& service, const char* type,
                        const std::string& payload);
    void expire_requests();

    process_core& core_;
    peer_service* peers_ = nullptr;
    service_directory* directory_ = nullptr;
    document_service* documents_ = nullptr;
    /** When the last reach reply was received. */
    time_point reach_received_;
    std::map<std::string, service_state> services_;
    std::map<std::uint64_t, pending_request> pending_requests_;
    std::uint64_t last_request_id_ = 0;
};

} // namespace hibiscusferry

#endif
