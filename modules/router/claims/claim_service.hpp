#ifndef HIBISCUSFERRY_ROUTER_CLAIMS_CLAIM_SERVICE_HPP
#define HIBISCUSFERRY_ROUTER_CLAIMS_CLAIM_SERVICE_HPP

#include "claims/claims.hpp"
#include "router/service/service_directory.hpp"
#include "runtime/runtime.hpp"
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace hibiscusferry
{

/** Executes the actions of the claim_registry and the claim_batcher on behalf
    of the coroutines that serve calls which may run at most once.

    A coroutine calls begin(). If the call may start, the coroutine sends it,
    reports the outcome with one of call_completed(), call_not_run() and
    call_interrupted(), and obtains the response for its caller from
    await_response().
*/
class claim_service final : public kernel_service
{
public:
    static constexpr const char* name = "claims";

    explicit claim_service(process_core& core);

    /** Claims a call.
        @returns std::nullopt when the call may be started now, otherwise its
                 final response */
    std::optional<call_response> begin(const claim_call& call,
                                       boost::asio::yield_context yield);

    /** Waits for the response to a started call whose outcome has been
        reported. */
    call_response await_response(const std::string& call_id,
                                 boost::asio::yield_context yield);

    void call_completed(const std::string& call_id,
                        const stored_response& answer);
    void call_not_run(const std::string& call_id);
    void call_interrupted(const std::string& call_id);

    result<void> start() override;
    void drain(std::function<void()> finished) override;
    void stop() override;

private:
    /** A coroutine that waits for the registry's decision on its call. */
    struct waiting_call
    {
        boost::asio::steady_timer* timer = nullptr;
        bool may_start = false;
        std::optional<call_response> answer;
    };

    void wait(const std::string& call_id, boost::asio::yield_context yield);
    void wake(const std::string& call_id);
    void tick();

    void carry_out(const claim_registry::actions& actions);
    void carry_out(const call_response& action);
    void carry_out(const start_call& action);
    void carry_out(const update_claim& action);
    void carry_out(const read_claim& action);
    void carry_out(const query_call_status& action);
    void carry_out(const store_body& action);
    void carry_out(const scan_claims& action);
    void carry_out(const claim_event& action);
    void carry_out(const std::vector<batch_action>& actions);
    void carry_out(const batch_step& action);
    void carry_out(const update_outcome& outcome);
    void query_status(const query_call_status& action,
                      boost::asio::yield_context yield);
    std::string status() const;

    process_core& core_;
    table_store* table_ = nullptr;
    object_store* objects_ = nullptr;
    service_directory* directory_ = nullptr;
    claim_registry registry_;
    claim_batcher batcher_;
    std::map<std::string, waiting_call> calls_;
};

} // namespace hibiscusferry

#endif
