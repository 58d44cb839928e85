#ifndef HIBISCUSFERRY_ROUTER_CONTROL_CONTROL_SERVICE_HPP
#define HIBISCUSFERRY_ROUTER_CONTROL_CONTROL_SERVICE_HPP

#include "router/service/service_directory.hpp"
#include "runtime/runtime.hpp"
#include <map>
#include <string>

namespace hibiscusferry
{

/** A router's conversation with the controllers: renews its permissions,
    confirms stops, reports load, and learns how many hosts can be reached. */
class control_service final : public kernel_service
{
public:
    static constexpr const char* name = "control";

    explicit control_service(process_core& core);

    result<void> start() override;
    void stop() override;

private:
    /** An unanswered request for a permission. */
    struct open_request
    {
        std::string service;
        time_point asked_at;
    };

    /** What is known of the controller to ask for a service. */
    struct service_state
    {
        /** The holder's host; empty when it is not known. */
        std::string holder;
        time_point next_request;
        time_point next_report;
        /** Stops that are confirmed again while requests run there. */
        std::map<std::string, std::size_t> confirmed_in_flight;
    };

    void tick();
    void ask_reach();
    void take_reach(const reachability_reply& reply);
    void renew(const std::shared_ptr<served_service>& service,
               service_state& state);
    void ask(const std::string& service);
    void report(const std::shared_ptr<served_service>& service,
                service_state& state);
    void take_announcement(const permission_reply& reply);
    void take_elsewhere(const holder_redirect& answer);
    void take_stop(const service_stop& message);
    void confirm(const std::shared_ptr<served_service>& service,
                 const std::string& target);
    void confirm_emptied(const std::shared_ptr<served_service>& service,
                         service_state& state);
    void send_to_holder(const std::string& service, const char* type,
                        const std::string& payload);
    void forget_unanswered();

    process_core& core_;
    peer_service* peers_ = nullptr;
    service_directory* directory_ = nullptr;
    document_service* documents_ = nullptr;
    /** When the reach of a controller was last heard. */
    time_point reach_heard_;
    std::map<std::string, service_state> services_;
    std::map<std::uint64_t, open_request> requests_;
    std::uint64_t last_request_ = 0;
};

} // namespace hibiscusferry

#endif
