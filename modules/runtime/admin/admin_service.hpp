#ifndef HIBISCUSFERRY_RUNTIME_ADMIN_ADMIN_SERVICE_HPP
#define HIBISCUSFERRY_RUNTIME_ADMIN_ADMIN_SERVICE_HPP

#include "process/process.hpp"
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace hibiscusferry
{

/** The pages of a daemon's admin port: /healthz, /readyz, /metrics, /status
    and /timeline, and those that other services add.

    Add pages and checks before the kernel starts; the functions are called
    on the process's thread.
*/
class admin_service final : public kernel_service
{
public:
    static constexpr const char* name = "admin";

    using page_handler =
        std::function<void(http_exchange&, boost::asio::yield_context)>;

    explicit admin_service(process_core& core);

    /** Serves a page of one's own under all paths that begin so. */
    void add_page(const std::string& path_prefix, page_handler handler);

    /** Adds a condition of readiness: an empty text, or why the process is
        not ready. */
    void add_readiness_check(std::function<std::string()> check);

    /** Adds a member to /status: JSON text. */
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
    std::vector<std::function<std::string()>> checks_;
    std::map<std::string, std::function<std::string()>> status_;
};

} // namespace hibiscusferry

#endif
