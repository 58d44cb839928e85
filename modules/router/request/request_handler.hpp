#ifndef HIBISCUSFERRY_ROUTER_REQUEST_REQUEST_HANDLER_HPP
#define HIBISCUSFERRY_ROUTER_REQUEST_REQUEST_HANDLER_HPP

#include "router/claims/claim_service.hpp"
#include "router/errors/caller_error.hpp"
#include "router/limits/limit_service.hpp"
#include "router/request/attempt_runner.hpp"
#include "router/request/caller_request.hpp"
#include "router/request/model_call.hpp"
#include "router/request/stream_relay.hpp"
#include "router/service/service_directory.hpp"
#include <boost/asio/spawn.hpp>
#include <optional>

namespace hibiscusferry
{

/** The services that the request handlers of a router share. */
struct handler_context
{
    process_core& core;
    attempt_ledger& ledger;
    attempt_runner& runner;
    claim_service& claims;
    limit_service& limits;
};

/** Serves one validated request: waits for its admission, claims it if it may
    run only once, sends it to targets, and responds to its caller.

    There is one per request, on the coroutine of the caller's connection.
*/
class request_handler
{
public:
    request_handler(handler_context& context,
                    std::shared_ptr<served_service> service,
                    caller_request request, std::optional<model_call> model,
                    http_exchange& exchange);

    /** Serves the request until it is complete. */
    void run(boost::asio::yield_context yield);

private:
    /** The result of one attempt, or of all attempts of the request. */
    struct execution_result
    {
        attempt_completion completion = attempt_completion::not_connected;
        call_outcome outcome = call_outcome::not_run;
        /** The complete response; set when one was received. */
        std::optional<http_response> response;
        /** Whether a streamed response has already been sent to the caller. */
        bool is_response_sent = false;
        std::string code;
    };

    bool wait_for_admission(boost::asio::yield_context yield);
    void run_admitted(boost::asio::yield_context yield);
    void run_claimed(boost::asio::yield_context yield);
    execution_result run_attempts(boost::asio::yield_context yield);
    execution_result run_attempt(const target_selection& selection,
                                 const std::string& attempt,
                                 boost::asio::yield_context yield);
    execution_result relay_response(pending_response pending,
                                    const std::string& attempt,
                                    const target_selection& selection,
                                    boost::asio::yield_context yield);
    attempt_verdict end_attempt(const std::string& attempt,
                                const target_selection& selection,
                                attempt_completion completion);
    result<target_selection> choose_target();
    void record_usage(const std::optional<request_cost>& usage);

    void finish(const execution_result& execution,
                boost::asio::yield_context yield);
    void respond_to_claim(const call_response& verdict,
                          boost::asio::yield_context yield);
    void respond(const http_response& response,
                 boost::asio::yield_context yield);
    void refuse(const caller_error& error, boost::asio::yield_context yield);

    handler_context& context_;
    std::shared_ptr<served_service> service_;
    caller_request request_;
    std::optional<model_call> model_;
    http_exchange& exchange_;
    request_number number_;
    request_cost estimate_;
    request_size size_;
    double actual_cost_ = 0;
    target_state reported_state_ = target_state::serving;
};

} // namespace hibiscusferry

#endif
