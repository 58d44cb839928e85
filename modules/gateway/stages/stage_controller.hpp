#ifndef HIBISCUSFERRY_GATEWAY_STAGES_STAGE_CONTROLLER_HPP
#define HIBISCUSFERRY_GATEWAY_STAGES_STAGE_CONTROLLER_HPP

#include "authority/authority.hpp"
#include "gateway/request/request_context.hpp"
#include "gateway/sharing/load_exchange.hpp"
#include <map>
#include <set>

namespace hibiscusferry
{

/** Orders engines to change their stage, on the one host that holds the lease
    for it.

    Engines need not check fencing numbers, so a new holder waits until no
    order of the former one can still leave, and every order names the engine's
    life and the number of orders it was decided from: one that arrives late
    is refused by the engine. An order without an answer is not repeated until
    the engine's own word shows what became of it.
*/
class stage_controller final : public kernel_service
{
public:
    static constexpr const char* name = "stage_controller";

    stage_controller(const gateway_services& services, state_follower& follower,
                     load_exchange& exchange, table_store& store);

    result<void> start() override;
    void drain(std::function<void()> finished) override;
    void stop() override;

private:
    void tick();
    void perform(const lease_actions& actions);
    bool may_order() const;
    void plan();
    void order(const service_properties& service, const stage_change& wanted);
    void give(const service_properties& service,
              const std::shared_ptr<target_view>& target, target_role stage,
              boost::asio::yield_context yield);
    result<engine_status> ask_status(const target_record& engine,
                                     boost::asio::yield_context yield);

    gateway_services services_;
    state_follower& follower_;
    load_exchange& exchange_;
    table_store& store_;
    lease_holder lease_;
    std::optional<time_point> orders_from_;
    std::map<std::string, stage_planner> planners_;
    /** Engines with an order that is being given. */
    std::set<std::string> in_progress_;
    bool is_stopping_ = false;
};

} // namespace hibiscusferry

#endif
