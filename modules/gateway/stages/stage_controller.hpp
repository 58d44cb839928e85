#ifndef HIBISCUSFERRY_GATEWAY_STAGES_STAGE_CONTROLLER_HPP
#define HIBISCUSFERRY_GATEWAY_STAGES_STAGE_CONTROLLER_HPP

#include "gateway/authority/fleet_authority.hpp"
#include "gateway/request/request_context.hpp"
#include <map>
#include <set>

namespace hibiscusferry
{

/** Orders engines to change their stage, on the one host that holds the
    authority.

    Engines need not check fencing numbers. Therefore a new lease holder waits
    until its predecessor can no longer send an order, and every order carries
    the incarnation of the engine and the order count on which it is based, so
    that the engine refuses an order that arrives late. An order without a
    response is not repeated until a report of the engine shows its outcome.
*/
class stage_controller final : public kernel_service
{
public:
    static constexpr const char* name = "stage_controller";

    stage_controller(const gateway_services& services,
                     const fleet_authority& authority);

    result<void> start() override;
    void stop() override;

private:
    bool can_issue_orders() const;
    void plan();
    void start_order(const service_properties& service,
                     const stage_change& change);
    void send_order(const service_properties& service,
                    const std::shared_ptr<target_view>& target,
                    target_role stage, boost::asio::yield_context yield);
    /** Whether an order may be written to an engine now. */
    bool may_order(const target_view& target) const;
    /** Writes an order without waiting for anything before, and waits for its
        response. */
    void write_order(const stage_order& order, target_view& target,
                     std::unique_ptr<http_connection> connection,
                     boost::asio::yield_context yield);
    result<engine_status> query_status(target_view& engine,
                                       boost::asio::yield_context yield);

    gateway_services services_;
    const fleet_authority& authority_;
    std::map<std::string, stage_planner> planners_;
    /** Engines to which an order is being sent. */
    std::set<std::string> orders_in_progress_;
    bool is_stopping_ = false;
};

} // namespace hibiscusferry

#endif
