#ifndef HIBISCUSFERRY_CONTROLLER_AUTHORITY_AUTHORITY_DIRECTORY_HPP
#define HIBISCUSFERRY_CONTROLLER_AUTHORITY_AUTHORITY_DIRECTORY_HPP

#include "controller/authority/service_authority.hpp"
#include "controller/membership/membership_service.hpp"
#include "runtime/runtime.hpp"
#include <map>
#include <memory>
#include <string>

namespace hibiscusferry
{

/** Maintains a service_authority for every model service of this controller's
    region, and responds to the permission requests of routers. */
class authority_directory final : public kernel_service, public router_link
{
public:
    static constexpr const char* name = "authority";

    explicit authority_directory(process_core& core);

    result<void> start() override;
    void drain(std::function<void()> finished) override;
    void stop() override;

private:
    void announce(const std::string& service,
                  const drain_announcement& announcement) override;
    void update_document(const std::string& service,
                         const service_document* document);
    void update_hosts(const host_list_snapshot& snapshot);
    void tick();
    void handle_permission_request(const std::string& process,
                                   const permission_request& request);
    void handle_confirmation(const stop_confirmation& confirmation);
    void handle_load(const service_load& load);
    std::string status() const;

    process_core& core_;
    table_store* table_ = nullptr;
    peer_service* peers_ = nullptr;
    membership_service* membership_ = nullptr;
    host_list_service* hosts_ = nullptr;
    std::map<std::string, std::shared_ptr<service_authority>> authorities_;
    /** The process of each router that requested a permission, by host. */
    std::map<std::string, std::string> router_processes_;
};

} // namespace hibiscusferry

#endif
