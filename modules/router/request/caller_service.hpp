#ifndef HIBISCUSFERRY_ROUTER_REQUEST_CALLER_SERVICE_HPP
#define HIBISCUSFERRY_ROUTER_REQUEST_CALLER_SERVICE_HPP

#include "router/request/request_handler.hpp"
#include <memory>
#include <optional>

namespace hibiscusferry
{

/** Listens for callers, validates their requests, and serves each with a
    request_handler. */
class caller_service final : public kernel_service
{
public:
    static constexpr const char* name = "callers";

    explicit caller_service(process_core& core);

    result<void> start() override;

    /** Accepts requests during the drain grace period, in which the load
        balancer may still send some, then refuses new requests, and finishes
        when the requests in flight have completed. */
    void drain(std::function<void()> finished) override;
    void stop() override;

private:
    void serve(http_exchange& exchange, boost::asio::yield_context yield);
    std::optional<caller_error> check(const http_request& message,
                                      caller_request& request,
                                      std::optional<model_call>& model);
    std::optional<caller_error> identify(const service_document& document,
                                         caller_request& request);
    std::optional<caller_error> classify(const service_document& document,
                                         caller_request& request);

    process_core& core_;
    service_directory* directory_ = nullptr;
    attempt_ledger ledger_;
    attempt_runner runner_;
    std::unique_ptr<handler_context> context_;
    std::unique_ptr<http_server> server_;
    bool is_draining_ = false;
};

} // namespace hibiscusferry

#endif
