#ifndef HIBISCUSFERRY_EXTRAS_CLIENT_LIMITS_LIMITED_PROCESS_HPP
#define HIBISCUSFERRY_EXTRAS_CLIENT_LIMITS_LIMITED_PROCESS_HPP

#include "deployment.hpp"
#include <cstdint>
#include <memory>
#include <string>
#include <sys/types.h>

namespace hibiscusferry::client_limits
{

/** A process of the system with lowered limits, a store and one target. */
class limited_process
{
public:
    static constexpr std::size_t memory_mb = 96;
    static constexpr std::size_t max_descriptors = 600;

    /** Starts the process and waits until it is ready. */
    limited_process();
    ~limited_process();
    limited_process(const limited_process&) = delete;
    limited_process& operator=(const limited_process&) = delete;

    bool is_running();
    bool is_ready();
    /** Sends requests until one is answered 200.
        @returns false if none was within 20 s */
    bool answers_request();
    /** The largest resident memory so far, in KB. */
    std::size_t peak_resident_kb() const;
    std::size_t open_descriptors() const;

    const std::string& address() const;
    std::uint16_t callers_port() const;
    std::uint16_t readiness_port() const;

private:
    void start(const nlohmann::json& settings);
    bool answers_once();

    std::string folder_;
    std::string address_;
    std::uint16_t callers_port_ = 0;
    std::uint16_t readiness_port_ = 0;
    pid_t pid_ = -1;
};

} // namespace hibiscusferry::client_limits

#endif
