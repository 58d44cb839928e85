#ifndef HIBISCUSFERRY_GATEWAY_PROCESS_GATEWAY_SERVICE_HPP
#define HIBISCUSFERRY_GATEWAY_PROCESS_GATEWAY_SERVICE_HPP

#include "gateway/process/listener_limits.hpp"
#include "gateway/process/request_intake.hpp"
#include "gateway/request/request_forwarder.hpp"
#include <memory>
#include <random>

namespace hibiscusferry
{

/** Accepts requests from callers and reports readiness to the load balancer.

    On a planned stop the host reports that it is not ready at once, but goes
    on serving: the load balancer notices with a delay, and open connections
    stay with their host. Connections are closed only after the load balancer
    has directed new callers to other hosts.
*/
class gateway_service final : public kernel_service
{
public:
    static constexpr const char* name = "gateway";

    explicit gateway_service(const gateway_services& services);

    result<void> start() override;
    void drain(std::function<void()> finished) override;
    void stop() override;

private:
    http_server_limits limits() const;
    /** Counts what was refused or dropped because of the limits on clients. */
    void count_client_limit(const exchange_failure& failure);
    void log_client_limits();
    void update_limits();
    void update_configuration_age();
    void serve(http_exchange& exchange, boost::asio::yield_context yield);
    /** Refuses a request that this host is too busy to process. */
    void refuse_unprocessed(http_exchange& exchange,
                            boost::asio::yield_context yield);
    void log_unprocessed();
    bool is_ready() const;
    void serve_readiness(http_exchange& exchange,
                         boost::asio::yield_context yield);
    void log_readiness_change();
    void record_failure(const exchange_failure& failure);

    /** Requests that were refused unprocessed since they were last logged. */
    struct unprocessed_requests
    {
        std::size_t count = 0;
        std::chrono::milliseconds max_wait{0};
    };

    /** Clients that met a limit since the last log line. */
    struct limited_clients
    {
        std::size_t requests_refused = 0;
        std::size_t clients_dropped = 0;
        std::size_t connections_refused = 0;
        std::size_t connections_dropped = 0;
        std::size_t fields_exceeded = 0;
    };

    gateway_services services_;
    std::mt19937_64 random_;
    request_intake intake_;
    unprocessed_requests unprocessed_;
    limited_clients limited_;
    std::shared_ptr<memory_budget> client_memory_;
    std::unique_ptr<http_server> callers_;
    std::unique_ptr<http_server> readiness_;
    std::uint64_t limits_version_ = 0;
    bool was_ready_ = false;
    bool is_draining_ = false;
};

} // namespace hibiscusferry

#endif
