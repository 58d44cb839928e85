#ifndef HIBISCUSFERRY_RUNTIME_PEERS_PEER_SERVICE_HPP
#define HIBISCUSFERRY_RUNTIME_PEERS_PEER_SERVICE_HPP

#include "peers/peers.hpp"
#include "process/process.hpp"
#include "storage/storage.hpp"
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace hibiscusferry
{

/** Exchanges messages between this process and others.

    A process is identified by its process id, a host's controller by the
    host's id in the platform's host list. Messages may be lost; callers that
    need a response must retry.
*/
class peer_service final : public kernel_service
{
public:
    static constexpr const char* name = "peers";

    /** Called with the sender's process id and the payload. */
    using handler = std::function<void(const std::string&, const std::string&)>;

    explicit peer_service(process_core& core);

    /** Sets the handler for a message type. It must be called after this
        service has started; services that are added after it can do so in
        their own start(). */
    void on(const std::string& type, handler callback);

    /** Sends a message to a connected process. */
    void send(const std::string& process, const std::string& type,
              const std::string& payload);

    /** Sends a message to a host's controller and opens a connection if there
        is none. */
    void send_to_host(const std::string& host, const std::string& type,
                      const std::string& payload);

    /** Sends a message to the selected controller from the settings: initially
        the first, and after try_next_controller() the one after it. */
    void send_to_any_controller(const std::string& type,
                                const std::string& payload);

    /** Selects the next controller from the settings. Callers use it when the
        selected controller has not responded. */
    void try_next_controller();

    result<void> start() override;
    void stop() override;

private:
    void count_failed_send(const result<void>& sent);
    void update_traffic_metrics();

    process_core& core_;
    std::unique_ptr<peer_transport> transport_;
    std::map<std::string, peer_endpoint> host_endpoints_;
    std::size_t controller_index_ = 0;
};

/** Returns the host id in a process id of the form
    "HOST/ROLE/INCARNATION". */
std::string host_of_process(const std::string& process);

} // namespace hibiscusferry

#endif
