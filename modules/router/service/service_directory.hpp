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

/** The services that a router serves, by the documents in force.

    A service that is removed stays in memory until its last request has
    ended, and is not found any more.
*/
class service_directory final : public kernel_service
{
public:
    static constexpr const char* name = "service_directory";

    explicit service_directory(process_core& core);

    /** The service of that name, or null. Keep the pointer while a request
        of it is open. */
    std::shared_ptr<served_service> find(const std::string& service) const;

    std::vector<std::shared_ptr<served_service>> all() const;

    result<void> start() override;
    void stop() override;

private:
    void take_document(const std::string& service,
                       const service_document* document);
    std::string status() const;

    process_core& core_;
    host_list_service* hosts_ = nullptr;
    std::map<std::string, std::shared_ptr<served_service>> services_;
};

} // namespace hibiscusferry

#endif
