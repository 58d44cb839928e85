#ifndef HIBISCUSFERRY_EXTRAS_SOAK_SOAK_HOST_HPP
#define HIBISCUSFERRY_EXTRAS_SOAK_SOAK_HOST_HPP

#include "soak/request_ledger.hpp"
#include "soak/tcp_proxy.hpp"

#include "deployment.hpp"
#include <mutex>
#include <string>
#include <sys/types.h>

namespace hibiscusferry::soak
{

/** A process of the system on a host of its own, with a proxy between it and
    the store. Thread-safe. */
class soak_host
{
public:
    /** @param program  the path of the program under test
        @param folder  for its settings and its log */
    soak_host(const std::string& program, const std::string& folder,
              const std::string& network, int number,
              const std::string& availability_zone, std::uint16_t store_port,
              request_ledger& ledger, review::event_record& record);
    ~soak_host();
    soak_host(const soak_host&) = delete;
    soak_host& operator=(const soak_host&) = delete;

    /** Starts the process unless it runs. */
    void start();
    void signal(int number);
    /** Sends SIGTERM. The process is killed after grace-s. */
    void stop();
    void kill();
    /** Kills a process whose grace period is over, and reports one that ended
        by itself. */
    void watch();
    bool is_running();

    void change_grace(int seconds);
    bool is_ready();
    tcp_proxy& store_proxy();

    const std::string& name() const;
    const std::string& address() const;
    std::uint16_t port() const;
    std::string log_path() const;

private:
    void write_settings();
    void signal_locked(int number);
    /** Collects the end of the process, if it has ended. */
    void collect();

    const std::string program_;
    const std::string address_;
    tcp_proxy store_proxy_;
    request_ledger& ledger_;
    review::event_record& record_;
    std::mutex mutex_;
    nlohmann::json settings_;
    std::string name_;
    std::string folder_;
    std::uint16_t port_ = 0;
    std::uint16_t ready_port_ = 0;
    pid_t pid_ = -1;
    bool is_ending_ = false;
    std::int64_t grace_ends_ms_ = 0;
};

} // namespace hibiscusferry::soak

#endif
