#ifndef HIBISCUSFERRY_ROUTER_SERVICE_SERVICE_DIRECTORY_HPP
#define HIBISCUSFERRY_ROUTER_SERVICE_SERVICE_DIRECTORY_HPP

#include "router/service/served_service.hpp"
#include "runtime/runtime.hpp"
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace hibiscusferry
{

/** The services that a router serves, according to the current documents.

    find() and all() no longer return a service that has been removed; it stays
    in memory until its last request has finished.
*/
class service_directory final : public kernel_service
{
public:
    static constexpr const char* name = "service_directory";

    explicit service_directory(process_core& core);

    /** Returns the service with this name, or null. A caller must keep the
        pointer while it has a request of the service in flight. */
    std::shared_ptr<served_service> find(const std::string& service) const;

    std::vector<std::shared_ptr<served_service>> all() const;

    result<void> start() override;
    void stop() override;

private:
    void update_document(const std::string& service,
                         const service_document* document);
    std::string status() const;

    process_core& core_;
    host_list_service* hosts_ = nullptr;
    std::map<std::string, std::shared_ptr<served_service>> services_;
};

} // namespace hibiscusferry

#endif
