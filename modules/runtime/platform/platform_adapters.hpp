#ifndef HIBISCUSFERRY_RUNTIME_PLATFORM_PLATFORM_ADAPTERS_HPP
#define HIBISCUSFERRY_RUNTIME_PLATFORM_PLATFORM_ADAPTERS_HPP

#include "process/process.hpp"
#include "storage/storage.hpp"
#include <memory>

namespace hibiscusferry
{

/** Provides the platform's storage and host list to a process as a kernel
    service. */
class platform_adapters final : public kernel_service
{
public:
    static constexpr const char* name = "platform";

    /** Timeout of a call to the platform. */
    static constexpr std::chrono::milliseconds call_timeout{2000};

    explicit platform_adapters(storage_access access);

    table_store& table();
    object_store& objects();
    host_list& hosts();

    result<void> start() override;
    void stop() override;

private:
    storage_access access_;
};

/** Returns the endpoint of the table service from the process's settings. */
http_endpoint table_service_endpoint(const process_core& core);

} // namespace hibiscusferry

#endif
