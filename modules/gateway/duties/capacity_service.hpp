#ifndef HIBISCUSFERRY_GATEWAY_DUTIES_CAPACITY_SERVICE_HPP
#define HIBISCUSFERRY_GATEWAY_DUTIES_CAPACITY_SERVICE_HPP

#include "gateway/duties/duty_caller.hpp"
#include "gateway/request/request_context.hpp"
#include <map>

namespace hibiscusferry
{

/** Orders targets for the services that allow it, and releases them, at the
    host that holds the authority. The decisions are those of capacity_planner.
 */
class capacity_service final : public kernel_service
{
public:
    static constexpr const char* name = "capacity_service";

    /** All parameters must outlive the service. */
    capacity_service(const gateway_services& services,
                     const load_exchange& exchange,
                     const fleet_authority& authority,
                     const duty_protocol& protocol, duty_caller& caller);

    result<void> start() override;
    void stop() override;

private:
    void order_loop(boost::asio::yield_context yield);
    void plan(const service_properties& service,
              boost::asio::yield_context yield);
    capacity_situation situation_of(const service_properties& service);
    std::optional<double> busy_targets(const service_properties& service);
    void order(const service_properties& service, const capacity_change& change,
               boost::asio::yield_context yield);
    void log(const service_properties& service, const capacity_change& change,
             const std::string& outcome);

    gateway_services services_;
    const load_exchange& exchange_;
    const fleet_authority& authority_;
    const duty_protocol& protocol_;
    duty_caller& caller_;
    /** The term for which the planners were made. */
    std::uint64_t term_ = 0;
    std::map<std::string, capacity_planner> planners_;
    /** The availability zones in which a service has had targets. */
    std::map<std::string, std::set<std::string>> zones_;
    std::map<std::string, capacity_situation> situations_;
    bool is_stopping_ = false;
};

} // namespace hibiscusferry

#endif
