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

/** The messages of this process to and from others.

    A process is named by its id, a host's controller by the host's id in the
    platform's list. Messages may be lost; those who need an answer ask
    again.
*/
class peer_service final : public kernel_service
{
public:
    static constexpr const char* name = "peers";

    /** Given the id of the process that sent, and the payload. */
    using handler = std::function<void(const std::string&, const std::string&)>;

    explicit peer_service(process_core& core);

    /** Takes all messages of a type. Call when this service has started,
        as services that are added after it do from their own start. */
    void on(const std::string& type, handler function);

    /** Sends to a process that is connected. */
    void send(const std::string& process, const std::string& type,
              const std::string& payload);

    /** Sends to a host's controller, over a connection that is opened when
        there is none. */
    void send_to_host(const std::string& host, const std::string& type,
                      const std::string& payload);

    /** Sends to one of the controllers that the settings name: the first
        one, or after it failed to answer another one. */
    void send_to_any_controller(const std::string& type,
                                const std::string& payload);

    /** A message to a controller went unanswered: the next one is used. */
    void try_next_controller();

    result<void> start() override;
    void stop() override;

private:
    void count_failure(const result<void>& sent);
    void note_traffic();

    process_core& core_;
    std::unique_ptr<peer_transport> transport_;
    std::map<std::string, peer_endpoint> hosts_;
    std::size_t controller_ = 0;
};

/** The host's id of a process id "HOST/ROLE/INCARNATION". */
std::string host_of_process(const std::string& process);

} // namespace hibiscusferry

#endif
