#ifndef HIBISCUSFERRY_RUNTIME_HOSTS_HOST_LIST_SERVICE_HPP
#define HIBISCUSFERRY_RUNTIME_HOSTS_HOST_LIST_SERVICE_HPP

#include "process/process.hpp"
#include "storage/storage.hpp"
#include <functional>
#include <vector>

namespace hibiscusferry
{

/** Polls the platform's host list and holds the latest snapshot.

    The list is polled at every poll interval. While the platform does not
    respond, the last snapshot stays in use, because unavailable targets are
    detected by other means. A snapshot with a lower revision is ignored.
*/
class host_list_service final : public kernel_service
{
public:
    static constexpr const char* name = "host_list";

    using listener = std::function<void(const host_list_snapshot&)>;

    explicit host_list_service(process_core& core);

    /** Adds a listener, which is called with every snapshot that is not older
        than the previous one. Listeners must be added before start(). */
    void on_change(listener callback);

    const host_list_snapshot& reading() const;

    /** Returns the listed entry hosts, sorted by id. */
    std::vector<listed_host> entry_hosts() const;

    result<void> start() override;
    void stop() override;

private:
    void poll();
    void receive(const result<host_list_snapshot>& response);

    process_core& core_;
    host_list* host_list_ = nullptr;
    host_list_snapshot snapshot_;
    std::vector<listener> listeners_;
    bool is_poll_in_flight_ = false;
};

} // namespace hibiscusferry

#endif
