#include "router/request/request_handler.hpp"

namespace hibiscusferry
{

namespace
{

constexpr std::chrono::seconds no_target_retry_after{1};
constexpr std::chrono::seconds store_retry_after{2};

request_number next_request_number()
{
    static request_number last = 0;
    return ++last;
}

caller_error error_of(const request_refusal& refusal)
{
    const unsigned status =
        refusal.reason == refusal_reason::over_limit ? 429 : 503;
    return {status, std::string(to_text(refusal.reason)), call_outcome::not_run,
            "the request was not run", refusal.retry_after};
}

/** The error for a request whose attempts gave no answer. */
caller_error error_of(attempt_completion end, call_outcome outcome,
                      const std::string& code)
{
    if (outcome == call_outcome::not_run)
        return {503, code.empty() ? "no_target" : code, outcome,
                "no target took the request", no_target_retry_after};
    if (end == attempt_completion::timed_out)
        return {
            504, "timed_out", outcome, "the target did not answer in time", {}};
    return {502,
            "target_failed",
            outcome,
            "the target's answer was lost or not its own",
            {}};
}

stored_response to_stored_answer(const http_response& response)
{
    stored_response stored;
    stored.status = static_cast<int>(response.status);
    for (const http_header& field : response.headers.fields())
        stored.headers.push_back({field.name, field.value});
    stored.body = response.body;
    return stored;
}

http_response to_http_response(const stored_response& stored)
{
    http_response response;
    response.status = static_cast<unsigned>(stored.status);
    for (const response_header& field : stored.headers)
        response.headers.add(field.name, field.value);
    response.body = stored.body;
    return response;
}

} // namespace

request_handler::request_handler(request_tools& tools,
                                 std::shared_ptr<served_service> service,
                                 caller_request request,
                                 std::optional<model_call> model,
                                 http_exchange& exchange)
    : tools_(tools)
    , service_(std::move(service))
    , request_(std::move(request))
    , model_(std::move(model))
    , exchange_(exchange)
    , number_(next_request_number())
{
    size_.prompt_bytes =
        model_ ? model_->prompt.size() : request_.message.body.size();
    if (model_)
        size_.max_tokens = model_->max_tokens;
    estimate_ = service_->estimator().estimate(request_.workspace, size_);
    service_->request_offered(
        static_cast<std::uint64_t>(estimate_.prefill_tokens));
}

void request_handler::run(boost::asio::yield_context yield)
{
    if (!wait_for_turn(yield))
        return;
    tools_.ledger.open(
        {request_.id, request_.is_idempotent, request_.deadline});
    if (request_.rule != nullptr)
        run_claimed(yield);
    else
        run_admitted(yield);
    tools_.ledger.close(request_.id);
    service_->gate().finish(number_, actual_cost_);
}

bool request_handler::wait_for_turn(boost::asio::yield_context yield)
{
    queued_request queued;
    queued.number = number_;
    queued.workspace = request_.workspace;
    queued.lane =
        request_.priority.urgent ? queue_lane::urgent : queue_lane::normal;
    queued.cost = estimate_.weighted(service_->document().cost);
    queued.deadline = request_.deadline;
    const limit_decision limited = tools_.limits.admit(
        request_.service, request_.workspace, queued.lane, queued.cost);
    if (!limited.admitted)
    {
        refuse(error_of(request_refusal{number_, request_.workspace,
                                        refusal_reason::over_limit,
                                        limited.retry_after}),
               yield);
        return false;
    }
    queued.lane = limited.lane;
    const admission_result admitted =
        service_->gate().wait(queued, exchange_, yield);
    switch (admitted.what)
    {
    case admission_result::kind::admitted:
        return true;
    case admission_result::kind::refused:
        service_->request_refused();
        refuse(error_of(admitted.refusal), yield);
        return false;
    case admission_result::kind::caller_gone:
        tools_.core.journal().record(
            event_number::request_abandoned,
            {{"request", request_.id}, {"service", request_.service}});
        return false;
    }
    return false;
}

void request_handler::run_admitted(boost::asio::yield_context yield)
{
    answer(run_attempts(yield), yield);
}

void request_handler::run_claimed(boost::asio::yield_context yield)
{
    claim_call call;
    call.call_id = request_.id;
    call.name = {request_.service, request_.workspace,
                 request_.idempotency_key};
    call.body_digest =
        sha256_hex(request_.message.method + " " + request_.target_path + "\n" +
                   request_.message.body);
    call.deadline = request_.deadline;
    call.has_status_path = !request_.rule->status_path.empty();
    const std::optional<call_response> early = tools_.claims.begin(call, yield);
    if (early)
    {
        answer_claim(*early, yield);
        return;
    }

    const run_result ended = run_attempts(yield);
    if (ended.answer)
        tools_.claims.call_completed(request_.id,
                                     to_stored_answer(*ended.answer));
    else if (ended.outcome == call_outcome::not_run)
        tools_.claims.call_not_run(request_.id);
    else
        tools_.claims.call_interrupted(request_.id);
    answer_claim(tools_.claims.await_answer(request_.id, yield), yield);
}

request_handler::run_result
request_handler::run_attempts(boost::asio::yield_context yield)
{
    service_->retries().first_attempt();
    run_result last;
    for (;;)
    {
        const result<target_selection> chosen = choose_target();
        if (!chosen)
        {
            last.code = last.code.empty() ? "no_target" : last.code;
            return last;
        }
        const std::string attempt = tools_.core.identifiers().next();
        const bool may_send = tools_.ledger.begin(
            request_.id, attempt, chosen.value().target, tools_.core.now());
        if (!may_send)
            return last;

        last = run_attempt(chosen.value(), attempt, yield);
        const attempt_verdict verdict =
            end_attempt(attempt, chosen.value(), last.end);
        last.outcome = verdict.outcome;
        const bool is_over = last.answer || last.is_answered ||
                             !verdict.may_retry ||
                             !service_->retries().take_retry();
        if (is_over)
            return last;
    }
}

result<target_selection> request_handler::choose_target()
{
    selection_request wanted;
    wanted.prefix = model_ ? prefix_key(model_->prompt) : 0;
    wanted.prefill_tokens = estimate_.prefill_tokens;
    wanted.decode_tokens = estimate_.decode_tokens;
    wanted.excluded = tools_.ledger.tried_targets(request_.id);
    wanted.kv_transfer_allowed = false;
    return service_->picker().choose(service_->targets(),
                                     service_->asked_permission(), wanted,
                                     tools_.core.now());
}

request_handler::run_result
request_handler::run_attempt(const target_selection& chosen,
                             const std::string& attempt,
                             boost::asio::yield_context yield)
{
    const time_point now = tools_.core.now();
    const std::optional<http_endpoint> endpoint =
        service_->endpoint_of(chosen.target);
    if (!endpoint)
        return {};
    service_->targets().attempt_started(chosen.target, attempt,
                                        estimate_.prefill_tokens, now);
    tools_.core.journal().record(event_number::attempt_started,
                                 {{"request", request_.id},
                                  {"service", request_.service},
                                  {"target", chosen.target},
                                  {"attempt", attempt}});
    attempt_opening opening = tools_.runner.open(
        attempt, *endpoint, to_target_request(request_, attempt, now),
        request_.is_idempotent, request_.deadline, yield);
    if (!opening.answer)
    {
        refused_as_ = opening.refused_as;
        run_result failed;
        failed.end = opening.end;
        return failed;
    }
    return answer_attempt(std::move(*opening.answer), attempt, chosen, yield);
}

request_handler::run_result
request_handler::answer_attempt(begun_answer begun, const std::string& attempt,
                                const target_selection& chosen,
                                boost::asio::yield_context yield)
{
    run_result ended;
    const bool is_stream =
        model_ && model_->is_streamed && begun.head.status == 200;
    if (!is_stream)
    {
        http_response whole;
        ended.end =
            tools_.runner.read_whole(begun, whole, request_.deadline, yield);
        const bool is_whole = ended.end == attempt_completion::answered ||
                              ended.end == attempt_completion::server_error;
        if (!is_whole)
            return ended;
        tools_.runner.release(begun);
        note_usage(usage_of(whole.body));
        ended.answer = std::move(whole);
        return ended;
    }

    stream_relay relay(
        tools_.core, request_, exchange_,
        [this, &attempt, &chosen]
        {
            tools_.ledger.response_started(request_.id);
            service_->targets().attempt_prefilled(chosen.target, attempt,
                                                  tools_.core.now());
            tools_.core.metrics()
                .durations_of("first_token_seconds",
                              "service=\"" + request_.service + "\"")
                .add(tools_.core.now() - request_.arrived);
        });
    const std::optional<http_endpoint> endpoint =
        service_->endpoint_of(chosen.target);
    const relay_result relayed =
        relay.run(std::move(begun), endpoint.value_or(http_endpoint{}), yield);
    note_usage(relayed.usage);
    ended.end = relayed.end;
    ended.is_answered = relayed.has_begun;
    return ended;
}

attempt_verdict request_handler::end_attempt(const std::string& attempt,
                                             const target_selection& chosen,
                                             attempt_completion end)
{
    const time_point now = tools_.core.now();
    target_table& targets = service_->targets();
    targets.attempt_ended(chosen.target, attempt, now);
    const attempt_verdict verdict = tools_.ledger.end(attempt, end, now);
    if (end == attempt_completion::answered)
        targets.attempt_succeeded(chosen.target);
    else if (end == attempt_completion::refused)
        targets.refused(chosen.target, refused_as_, now);
    if (end != attempt_completion::answered &&
        end != attempt_completion::caller_gone)
        tools_.core.journal().record(
            event_number::attempt_failed,
            {{"request", request_.id},
             {"service", request_.service},
             {"target", chosen.target},
             {"outcome", std::string(to_text(verdict.outcome))}});
    if (!verdict.counts_against_target)
        return verdict;
    const std::optional<http_endpoint> endpoint =
        service_->endpoint_of(chosen.target);
    if (endpoint)
        tools_.core.connections().forget(*endpoint);
    if (targets.attempt_failed(chosen.target, now))
        tools_.core.journal().record(
            event_number::target_out,
            {{"service", request_.service}, {"target", chosen.target}});
    return verdict;
}

void request_handler::note_usage(const std::optional<request_cost>& usage)
{
    const request_cost actual = usage.value_or(estimate_);
    actual_cost_ = actual.weighted(service_->document().cost);
    service_->request_finished(
        static_cast<std::uint64_t>(actual.decode_tokens));
    if (usage)
        service_->estimator().learn(request_.workspace, size_, *usage);
}

void request_handler::answer(const run_result& ended,
                             boost::asio::yield_context yield)
{
    if (ended.is_answered)
    {
        tools_.core.journal().record(
            event_number::request_finished,
            {{"request", request_.id}, {"service", request_.service}});
        return;
    }
    if (ended.answer)
    {
        respond({ended.answer->status,
                 to_caller_headers(ended.answer->headers, request_.id),
                 ended.answer->body},
                yield);
        return;
    }
    refuse(error_of(ended.end, ended.outcome, ended.code), yield);
}

void request_handler::answer_claim(const call_response& verdict,
                                   boost::asio::yield_context yield)
{
    const std::chrono::seconds retry_after =
        std::chrono::ceil<std::chrono::seconds>(verdict.retry_after);
    switch (verdict.verdict)
    {
    case claim_verdict::answered:
    {
        const http_response stored = to_http_response(verdict.answer);
        respond({stored.status, to_caller_headers(stored.headers, request_.id),
                 stored.body},
                yield);
        return;
    }
    case claim_verdict::in_progress:
        refuse({409, "in_progress", call_outcome::not_run,
                "another request with this Idempotency-Key is running; this "
                "one was not run",
                retry_after},
               yield);
        return;
    case claim_verdict::unknown:
        refuse({504, "outcome_unknown", call_outcome::unknown,
                "the request may have run; it is listed for the operators "
                "until that is settled",
                retry_after},
               yield);
        return;
    case claim_verdict::key_reused:
        refuse({422,
                "key_reused",
                call_outcome::not_run,
                "this Idempotency-Key was used with another request",
                {}},
               yield);
        return;
    case claim_verdict::barred:
        refuse({409,
                "key_barred",
                call_outcome::not_run,
                "no request with this Idempotency-Key has run or will run; "
                "use a new key",
                {}},
               yield);
        return;
    case claim_verdict::not_run:
        refuse({503, "not_claimed", call_outcome::not_run,
                "the request was not run",
                std::max(retry_after, store_retry_after)},
               yield);
        return;
    }
}

void request_handler::respond(const http_response& response,
                              boost::asio::yield_context yield)
{
    const result<void> sent = exchange_.respond(response, yield);
    tools_.core.journal().record(sent ? event_number::request_finished
                                      : event_number::request_abandoned,
                                 {{"request", request_.id},
                                  {"service", request_.service},
                                  {"status", std::to_string(response.status)}});
}

void request_handler::refuse(const caller_error& error,
                             boost::asio::yield_context yield)
{
    tools_.core.metrics()
        .counter_of("requests_refused_total", "service=\"" + request_.service +
                                                  "\",code=\"" + error.code +
                                                  "\"")
        .add();
    tools_.core.journal().record(
        event_number::request_refused,
        {{"request", request_.id},
         {"service", request_.service},
         {"code", error.code},
         {"outcome", std::string(to_text(error.outcome))}});
    const result<void> ignored =
        exchange_.respond(to_response(error, request_.id), yield);
    static_cast<void>(ignored);
}

} // namespace hibiscusferry
