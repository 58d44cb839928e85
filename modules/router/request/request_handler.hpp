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

/** What a router's request handlers share. */
struct request_tools
{
    process_core& core;
    attempt_ledger& ledger;
    attempt_runner& runner;
    claim_service& claims;
    limit_service& limits;
};

/** Serves one checked request: waits for its turn, claims it if it may run
    only once, sends it to targets, and answers its caller.

    One per request, on the coroutine of the caller's connection.
*/
class request_handler
{
public:
    request_handler(request_tools& tools,
                    std::shared_ptr<served_service> service,
                    caller_request request, std::optional<model_call> model,
                    http_exchange& exchange);

    /** Serves the request to its end. */
    void run(boost::asio::yield_context yield);

private:
    /** What came of all attempts. */
    struct run_result
    {
        attempt_completion end = attempt_completion::not_connected;
        call_outcome outcome = call_outcome::not_run;
        /** The whole answer; set when it has ended with one. */
        std::optional<http_response> answer;
        /** Whether the caller has been answered already, by a stream. */
        bool is_answered = false;
        std::string code;
    };

    bool wait_for_turn(boost::asio::yield_context yield);
    void run_admitted(boost::asio::yield_context yield);
    void run_claimed(boost::asio::yield_context yield);
    run_result run_attempts(boost::asio::yield_context yield);
    run_result run_attempt(const target_selection& chosen,
                           const std::string& attempt,
                           boost::asio::yield_context yield);
    run_result answer_attempt(begun_answer begun, const std::string& attempt,
                              const target_selection& chosen,
                              boost::asio::yield_context yield);
    attempt_verdict end_attempt(const std::string& attempt,
                                const target_selection& chosen,
                                attempt_completion end);
    result<target_selection> choose_target();
    void note_usage(const std::optional<request_cost>& usage);

    void answer(const run_result& result, boost::asio::yield_context yield);
    void answer_claim(const call_response& verdict,
                      boost::asio::yield_context yield);
    void respond(const http_response& response,
                 boost::asio::yield_context yield);
    void refuse(const caller_error& error, boost::asio::yield_context yield);

    request_tools& tools_;
    std::shared_ptr<served_service> service_;
    caller_request request_;
    std::optional<model_call> model_;
    http_exchange& exchange_;
    request_number number_;
    request_cost estimate_;
    request_size size_;
    double actual_cost_ = 0;
    target_state refused_as_ = target_state::serving;
};

} // namespace hibiscusferry

#endif
