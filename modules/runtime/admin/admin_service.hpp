#ifndef HIBISCUSFERRY_RUNTIME_ADMIN_ADMIN_SERVICE_HPP
#define HIBISCUSFERRY_RUNTIME_ADMIN_ADMIN_SERVICE_HPP

#include "process/process.hpp"
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace hibiscusferry
{

/** Serves the pages of a daemon's admin port: /healthz, /readyz, /metrics,
    /status, /timeline and the pages that other services add.

    Pages, checks and status members must be added before the kernel starts.
    Their functions are called on the process's thread.
*/
class admin_service final : public kernel_service
{
public:
    static constexpr const char* name = "admin";

    using page_handler =
        std::function<void(http_exchange&, boost::asio::yield_context)>;

    explicit admin_service(process_core& core);

    /** Adds a handler for all paths that start with a prefix. */
    void add_page(const std::string& path_prefix, page_handler handler);

    /** Adds a readiness check.
        @param check  returns an empty string if the process is ready, or the
                      reason why it is not */
    void add_readiness_check(std::function<std::string()> check);

    /** Adds a member to the object that /status returns.
        @param json  returns the value as JSON text */
    void add_status(const std::string& member,
                    std::function<std::string()> json);

    result<void> start() override;
    void stop() override;

private:
    void serve(http_exchange& exchange, boost::asio::yield_context yield);
    http_response page(const http_request& request);
    http_response readiness() const;
    http_response status() const;
    http_response timeline(const http_request& request) const;

    process_core& core_;
    std::unique_ptr<http_server> server_;
    std::map<std::string, page_handler> pages_;
    std::vector<std::function<std::string()>> readiness_checks_;
    std::map<std::string, std::function<std::string()>> status_members_;
};

} // namespace hibiscusferry

#endif
