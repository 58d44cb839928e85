#ifndef HIBISCUSFERRY_RUNTIME_PLATFORM_PLATFORM_ADAPTERS_HPP
#define HIBISCUSFERRY_RUNTIME_PLATFORM_PLATFORM_ADAPTERS_HPP

#include "process/process.hpp"
#include "storage/storage.hpp"
#include <memory>

namespace hibiscusferry
{

/** The platform's adapters of a process, found by name in the kernel. */
class platform_adapters final : public kernel_service
{
public:
    static constexpr const char* name = "platform";

    /** Time limit of a call to the platform. */
    static constexpr std::chrono::milliseconds call_limit{2000};

    /** Over HTTP, at the endpoints of the process's settings. */
    explicit platform_adapters(process_core& core);

    table_store& table();
    object_store& objects();
    host_list& hosts();

    result<void> start() override;
    void stop() override;

private:
    std::unique_ptr<table_store> table_;
    std::unique_ptr<object_store> objects_;
    std::unique_ptr<host_list> hosts_;
};

} // namespace hibiscusferry

#endif
