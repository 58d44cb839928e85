#ifndef HIBISCUSFERRY_RUNTIME_HOSTS_HOST_LIST_SERVICE_HPP
#define HIBISCUSFERRY_RUNTIME_HOSTS_HOST_LIST_SERVICE_HPP

#include "process/process.hpp"
#include "storage/storage.hpp"
#include <functional>
#include <vector>

namespace hibiscusferry
{

/** The platform's host list as last read by this process.

    Asked for at every poll interval; while the platform does not answer the
    last reading stays in use, since targets that went away show it
    themselves. A reading with a lower revision is not taken over.
*/
class host_list_service final : public kernel_service
{
public:
    static constexpr const char* name = "host_list";

    using listener = std::function<void(const host_list_snapshot&)>;

    explicit host_list_service(process_core& core);

    /** Calls the function with every newer reading; add before start. */
    void on_change(listener function);

    const host_list_snapshot& reading() const;

    /** Listed entry hosts, in order of id. */
    std::vector<listed_host> entry_hosts() const;

    result<void> start() override;
    void stop() override;

private:
    void poll();
    void take(const result<host_list_snapshot>& answer);

    process_core& core_;
    host_list* list_ = nullptr;
    host_list_snapshot reading_;
    std::vector<listener> listeners_;
    bool is_asking_ = false;
};

} // namespace hibiscusferry

#endif
