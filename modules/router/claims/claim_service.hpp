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

/** Carries out what the claim_registry and the claim_batcher decide, for the
    coroutines of calls that may run at most once.

    A coroutine calls begin(); when it may start it sends the call, reports
    how that ended with one of call_completed, call_not_run and
   call_interrupted, and gets its caller's answer from await_answer().
*/
class claim_service final : public kernel_service
{
public:
    static constexpr const char* name = "claims";

    explicit claim_service(process_core& core);

    /** Claims a call.
        @returns none when it may be started now, its final answer
                 otherwise */
    std::optional<call_response> begin(const claim_call& call,
                                       boost::asio::yield_context yield);

    /** Waits for the answer to a started call whose end was reported. */
    call_response await_answer(const std::string& call_id,
                               boost::asio::yield_context yield);

    void call_completed(const std::string& call_id,
                        const stored_response& answer);
    void call_not_run(const std::string& call_id);
    void call_interrupted(const std::string& call_id);

    result<void> start() override;
    void drain(std::function<void()> finished) override;
    void stop() override;

private:
    /** A coroutine that waits for the registry's word on its call. */
    struct waiting_call
    {
        boost::asio::steady_timer* timer = nullptr;
        bool may_start = false;
        std::optional<call_response> answer;
    };

    void wait(const std::string& call_id, boost::asio::yield_context yield);
    void wake(const std::string& call_id);
    void tick();

    void carry_out(const claim_registry::actions& wanted);
    void carry_out(const call_response& wanted);
    void carry_out(const start_call& wanted);
    void carry_out(const update_claim& wanted);
    void carry_out(const read_claim& wanted);
    void carry_out(const query_call_status& wanted);
    void carry_out(const store_body& wanted);
    void carry_out(const scan_claims& wanted);
    void carry_out(const claim_event& wanted);
    void carry_out(const std::vector<batch_action>& wanted);
    void carry_out(const batch_step& wanted);
    void carry_out(const update_outcome& wanted);
    void look_up(const query_call_status& wanted,
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
