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

/** Returns the error for a request whose attempts produced no response. */
caller_error error_of(attempt_completion completion, call_outcome outcome,
                      const std::string& code)
{
    if (outcome == call_outcome::not_run)
        return {503, code.empty() ? "no_target" : code, outcome,
                "no target accepted the request", no_target_retry_after};
    if (completion == attempt_completion::timed_out)
        return {504,
                "timed_out",
                outcome,
                "the target did not respond before the deadline",
                {}};
    return {502,
            "target_failed",
            outcome,
            "the response of the target was lost or did not match the request",
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

request_handler::request_handler(handler_context& context,
                                 std::shared_ptr<served_service> service,
                                 caller_request request,
                                 std::optional<model_call> model,
                                 http_exchange& exchange)
    : context_(context)
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
    if (!wait_for_admission(yield))
        return;
    context_.ledger.open(
        {request_.id, request_.is_idempotent, request_.deadline});
    if (request_.rule != nullptr)
        run_claimed(yield);
    else
        run_admitted(yield);
    context_.ledger.close(request_.id);
    service_->gate().finish(number_, actual_cost_);
}

bool request_handler::wait_for_admission(boost::asio::yield_context yield)
{
    queued_request queued;
    queued.number = number_;
    queued.workspace = request_.workspace;
    queued.lane =
        request_.priority.urgent ? queue_lane::urgent : queue_lane::normal;
    queued.cost = estimate_.weighted(service_->document().cost);
    queued.deadline = request_.deadline;
    const limit_decision decision = context_.limits.admit(
        request_.service, request_.workspace, queued.lane, queued.cost);
    if (!decision.admitted)
    {
        refuse(error_of(request_refusal{number_, request_.workspace,
                                        refusal_reason::over_limit,
                                        decision.retry_after}),
               yield);
        return false;
    }
    queued.lane = decision.lane;
    const admission_result admission =
        service_->gate().wait(queued, exchange_, yield);
    switch (admission.status)
    {
    case admission_result::kind::admitted:
        return true;
    case admission_result::kind::refused:
        service_->request_refused();
        refuse(error_of(admission.refusal), yield);
        return false;
    case admission_result::kind::caller_disconnected:
        context_.core.journal().record(
            event_number::request_abandoned,
            {{"request", request_.id}, {"service", request_.service}});
        return false;
    }
    return false;
}

void request_handler::run_admitted(boost::asio::yield_context yield)
{
    finish(run_attempts(yield), yield);
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
    const std::optional<call_response> immediate_response =
        context_.claims.begin(call, yield);
    if (immediate_response)
    {
        respond_to_claim(*immediate_response, yield);
        return;
    }

    const execution_result execution = run_attempts(yield);
    if (execution.response)
        context_.claims.call_completed(request_.id,
                                       to_stored_answer(*execution.response));
    else if (execution.outcome == call_outcome::not_run)
        context_.claims.call_not_run(request_.id);
    else
        context_.claims.call_interrupted(request_.id);
    respond_to_claim(context_.claims.await_response(request_.id, yield), yield);
}

request_handler::execution_result
request_handler::run_attempts(boost::asio::yield_context yield)
{
    service_->retries().record_first_attempt();
    execution_result last_result;
    for (;;)
    {
        const result<target_selection> selection = choose_target();
        if (!selection)
        {
            last_result.code =
                last_result.code.empty() ? "no_target" : last_result.code;
            return last_result;
        }
        const std::string attempt = context_.core.identifiers().next();
        const bool may_send = context_.ledger.begin(request_.id, attempt,
                                                    selection.value().target,
                                                    context_.core.now());
        if (!may_send)
            return last_result;

        last_result = run_attempt(selection.value(), attempt, yield);
        const attempt_verdict verdict =
            end_attempt(attempt, selection.value(), last_result.completion);
        last_result.outcome = verdict.outcome;
        const bool is_final =
            last_result.response || last_result.is_response_sent ||
            !verdict.may_retry || !service_->retries().take_retry();
        if (is_final)
            return last_result;
    }
}

result<target_selection> request_handler::choose_target()
{
    selection_request criteria;
    criteria.prefix = model_ ? prefix_key(model_->prompt) : 0;
    criteria.prefill_tokens = estimate_.prefill_tokens;
    criteria.decode_tokens = estimate_.decode_tokens;
    criteria.excluded = context_.ledger.tried_targets(request_.id);
    criteria.kv_transfer_allowed = false;
    return service_->selector().choose(service_->targets(),
                                       service_->required_permission(),
                                       criteria, context_.core.now());
}

request_handler::execution_result
request_handler::run_attempt(const target_selection& selection,
                             const std::string& attempt,
                             boost::asio::yield_context yield)
{
    const time_point now = context_.core.now();
    const std::optional<http_endpoint> endpoint =
        service_->endpoint_of(selection.target);
    if (!endpoint)
        return {};
    service_->targets().attempt_started(selection.target, attempt,
                                        estimate_.prefill_tokens, now);
    context_.core.journal().record(event_number::attempt_started,
                                   {{"request", request_.id},
                                    {"service", request_.service},
                                    {"target", selection.target},
                                    {"attempt", attempt}});
    attempt_open_result open_result = context_.runner.open(
        attempt, *endpoint, to_target_request(request_, attempt, now),
        request_.is_idempotent, request_.deadline, yield);
    if (!open_result.response)
    {
        reported_state_ = open_result.reported_state;
        execution_result failed;
        failed.completion = open_result.completion;
        return failed;
    }
    return relay_response(std::move(*open_result.response), attempt, selection,
                          yield);
}

request_handler::execution_result request_handler::relay_response(
    pending_response pending, const std::string& attempt,
    const target_selection& selection, boost::asio::yield_context yield)
{
    execution_result execution;
    const bool is_stream =
        model_ && model_->is_streamed && pending.head.status == 200;
    if (!is_stream)
    {
        http_response response;
        execution.completion = context_.runner.read_body(
            pending, response, request_.deadline, yield);
        const bool is_complete =
            execution.completion == attempt_completion::answered ||
            execution.completion == attempt_completion::server_error;
        if (!is_complete)
            return execution;
        context_.runner.release(pending);
        record_usage(parse_usage(response.body));
        execution.response = std::move(response);
        return execution;
    }

    stream_relay relay(
        context_.core, request_, exchange_,
        [this, &attempt, &selection]
        {
            context_.ledger.response_started(request_.id);
            service_->targets().attempt_prefilled(selection.target, attempt,
                                                  context_.core.now());
            context_.core.metrics()
                .durations_of("first_token_seconds",
                              "service=\"" + request_.service + "\"")
                .add(context_.core.now() - request_.received_at);
        });
    const std::optional<http_endpoint> endpoint =
        service_->endpoint_of(selection.target);
    const relay_result relayed = relay.run(
        std::move(pending), endpoint.value_or(http_endpoint{}), yield);
    record_usage(relayed.usage);
    execution.completion = relayed.completion;
    execution.is_response_sent = relayed.has_started;
    return execution;
}

attempt_verdict request_handler::end_attempt(const std::string& attempt,
                                             const target_selection& selection,
                                             attempt_completion completion)
{
    const time_point now = context_.core.now();
    target_table& targets = service_->targets();
    targets.attempt_ended(selection.target, attempt, now);
    const attempt_verdict verdict =
        context_.ledger.end(attempt, completion, now);
    if (completion == attempt_completion::answered)
        targets.attempt_succeeded(selection.target);
    else if (completion == attempt_completion::refused)
        targets.refused(selection.target, reported_state_, now);
    if (completion != attempt_completion::answered &&
        completion != attempt_completion::caller_gone)
        context_.core.journal().record(
            event_number::attempt_failed,
            {{"request", request_.id},
             {"service", request_.service},
             {"target", selection.target},
             {"outcome", std::string(to_text(verdict.outcome))}});
    if (!verdict.counts_against_target)
        return verdict;
    const std::optional<http_endpoint> endpoint =
        service_->endpoint_of(selection.target);
    if (endpoint)
        context_.core.connections().forget(*endpoint);
    if (targets.attempt_failed(selection.target, now))
        context_.core.journal().record(
            event_number::target_out,
            {{"service", request_.service}, {"target", selection.target}});
    return verdict;
}

void request_handler::record_usage(const std::optional<request_cost>& usage)
{
    const request_cost actual = usage.value_or(estimate_);
    actual_cost_ = actual.weighted(service_->document().cost);
    service_->request_finished(
        static_cast<std::uint64_t>(actual.decode_tokens));
    if (usage)
        service_->estimator().learn(request_.workspace, size_, *usage);
}

void request_handler::finish(const execution_result& execution,
                             boost::asio::yield_context yield)
{
    if (execution.is_response_sent)
    {
        context_.core.journal().record(
            event_number::request_finished,
            {{"request", request_.id}, {"service", request_.service}});
        return;
    }
    if (execution.response)
    {
        respond({execution.response->status,
                 to_caller_headers(execution.response->headers, request_.id),
                 execution.response->body},
                yield);
        return;
    }
    refuse(error_of(execution.completion, execution.outcome, execution.code),
           yield);
}

void request_handler::respond_to_claim(const call_response& verdict,
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
        refuse(
            {409, "in_progress", call_outcome::not_run,
             "another request with this Idempotency-Key is in progress; this "
             "one was not run",
             retry_after},
            yield);
        return;
    case claim_verdict::unknown:
        refuse({504, "outcome_unknown", call_outcome::unknown,
                "the request may have run; it is listed for the operators "
                "until its outcome is resolved",
                retry_after},
               yield);
        return;
    case claim_verdict::key_reused:
        refuse(
            {422,
             "key_reused",
             call_outcome::not_run,
             "this Idempotency-Key was already used with a different request",
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
    context_.core.journal().record(
        sent ? event_number::request_finished : event_number::request_abandoned,
        {{"request", request_.id},
         {"service", request_.service},
         {"status", std::to_string(response.status)}});
}

void request_handler::refuse(const caller_error& error,
                             boost::asio::yield_context yield)
{
    context_.core.metrics()
        .counter_of("requests_refused_total", "service=\"" + request_.service +
                                                  "\",code=\"" + error.code +
                                                  "\"")
        .add();
    context_.core.journal().record(
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
