#include "gateway/request/request_forwarder.hpp"

#include "gateway/request/request_limits.hpp"

// The part of request_forwarder that completes a request and logs its outcome.

namespace hibiscusferry
{

namespace
{

/** One in this many successful requests is logged. The hash of the request's id
    decides which, so that all hosts log the same requests. */
constexpr std::uint64_t success_log_interval = 16;

void add_step(std::vector<event_field>& event_fields, const std::string& name,
              const std::optional<timed_step>& step)
{
    if (!step)
        return;
    event_fields.push_back({name + "_at", step->target});
    event_fields.push_back(
        {name + "_ms", std::to_string(step->duration.count())});
    event_fields.push_back(
        {name + "_expected_ms", std::to_string(step->expected.count())});
    event_fields.push_back({name + "_tokens", std::to_string(static_cast<int>(
                                                  step->pending_tokens))});
    event_fields.push_back(
        {name + "_queued_tokens",
         std::to_string(static_cast<int>(step->queued_tokens))});
}

} // namespace

void request_forwarder::refuse(refusal_cause reason,
                               std::chrono::milliseconds backlog,
                               boost::asio::yield_context yield)
{
    if (!context_.possible_run_targets.empty() || context_.has_stream_started)
    {
        fail_request(refusal_cause::outcome_unknown, yield);
        return;
    }
    const refusal response{reason, retry_delay(backlog, random_())};
    const result<void> sent =
        exchange_.respond(services_.callers.write(response), yield);
    services_.core.metrics()
        .counter_of("hibiscusferry_refusals_total",
                    "reason=\"" + std::string(to_text(reason)) + "\"")
        .add();
    std::vector<event_field> event_fields = fields();
    event_fields.push_back({"reason", std::string(to_text(reason))});
    event_fields.push_back(
        {"return_after_ms", std::to_string(response.retry_after->count())});
    event_fields.push_back({"sent", sent ? "yes" : "no"});
    for (const event_field& field : context_.last_evidence.fields())
        event_fields.push_back(field);
    services_.core.journal().record(event_number::request_refused,
                                    std::move(event_fields));
}

void request_forwarder::fail_request(refusal_cause reason,
                                     boost::asio::yield_context yield)
{
    if (context_.has_stream_started)
    {
        // The missing final chunk tells the caller that the stream is broken.
        log_completion(event_number::stream_broken, context_.last_error);
        return;
    }
    if (failed_response_)
    {
        count_relayed_failure(failed_response_->response.status);
        const result<void> sent =
            exchange_.respond(failed_response_->response, yield);
        log_completion(sent ? event_number::request_finished
                            : event_number::request_abandoned,
                       std::to_string(failed_response_->response.status));
        return;
    }
    const bool may_have_run = !context_.possible_run_targets.empty();
    const bool is_caller_error = reason == refusal_cause::no_route ||
                                 reason == refusal_cause::bad_request ||
                                 reason == refusal_cause::unknown_credentials;
    if (!may_have_run && !is_caller_error)
    {
        refuse(reason, no_target_backlog, yield);
        return;
    }
    const bool is_deadline_exceeded =
        may_have_run &&
        context_.time_left(services_.core.now()) < min_time_to_attempt;
    const refusal response{
        is_deadline_exceeded ? refusal_cause::deadline_exceeded : reason,
        std::nullopt};
    const result<void> sent =
        exchange_.respond(services_.callers.write(response), yield);
    log_completion(sent ? event_number::request_failed
                        : event_number::request_abandoned,
                   std::string(to_text(response.reason)));
}

void request_forwarder::log_completion(event_number number,
                                       const std::string& outcome)
{
    const std::chrono::milliseconds elapsed =
        context_.elapsed(services_.core.now());
    const std::string route_label =
        context_.matched_route != nullptr
            ? "route=\"" + context_.matched_route->name + "\""
            : std::string();
    services_.core.metrics()
        .counter_of("hibiscusferry_requests_total",
                    "event=\"" + std::string(definition_of(number).name) + "\"")
        .add();
    if (context_.time_to_first_event)
        services_.core.metrics()
            .durations_of("hibiscusferry_first_event_seconds", route_label)
            .add(*context_.time_to_first_event);
    const bool is_routine_success = number == event_number::request_finished &&
                                    !context_.is_failure_relayed &&
                                    context_.attempts <= 2 &&
                                    context_.excluded.empty();
    if (is_routine_success &&
        stable_hash(context_.request.id) % success_log_interval != 0)
        return;
    std::vector<event_field> event_fields = fields();
    event_fields.push_back({"outcome", outcome});
    event_fields.push_back({"elapsed_ms", std::to_string(elapsed.count())});
    if (number != event_number::request_finished || context_.is_failure_relayed)
        for (const event_field& field : context_.last_evidence.fields())
            event_fields.push_back(field);
    if (context_.time_to_first_event)
        event_fields.push_back(
            {"first_event_ms",
             std::to_string(context_.time_to_first_event->count())});
    services_.core.journal().record(number, std::move(event_fields));
}

void request_forwarder::log_failed_attempt(const target_view& target,
                                           const target_exchange& upstream,
                                           const std::string& step)
{
    std::vector<event_field> event_fields{
        {"request", context_.request.id},
        {"target", target.record.id},
        {"problem", context_.last_error},
        {"elapsed_ms",
         std::to_string(context_.elapsed(services_.core.now()).count())}};
    for (const event_field& field : upstream.evidence().fields())
        event_fields.push_back(field);
    if (!step.empty())
        event_fields.push_back({"step", step});
    if (is_generation())
        event_fields.push_back(
            {"blocks", context_.request.prompt->shared_block_ids()});
    services_.core.journal().record(event_number::attempt_failed,
                                    std::move(event_fields));
}

void request_forwarder::count_relayed_failure(unsigned status)
{
    context_.is_failure_relayed = true;
    const std::string is_repeatable =
        context_.matched_route->is_safe_to_retry() ? "yes" : "no";
    services_.core.metrics()
        .counter_of("hibiscusferry_failures_relayed_total",
                    "repeatable=\"" + is_repeatable + "\",status=\"" +
                        status_label(status) + "\"")
        .add();
}

void request_forwarder::log_resumption()
{
    // A request that resumes a stream before its first event begins it.
    const bool is_resumption =
        context_.is_resumption() && context_.stream_software_version;
    if (!is_resumption && !context_.has_stream_started)
        return;
    std::vector<event_field> event_fields = fields();
    event_fields.push_back({"after_event", context_.progress.last_event_id()});
    event_fields.push_back(
        {"began_at_version",
         context_.stream_software_version.value_or("unknown")});
    services_.core.journal().record(event_number::stream_resumed,
                                    std::move(event_fields));
}

std::vector<event_field> request_forwarder::fields() const
{
    std::vector<event_field> event_fields{{"request", context_.request.id}};
    if (context_.matched_route != nullptr)
    {
        event_fields.push_back({"route", context_.matched_route->name});
        event_fields.push_back(
            {"version",
             std::to_string(context_.routes->configuration().version)});
        event_fields.push_back({"service", context_.service});
        if (!context_.workspace.empty())
            event_fields.push_back({"workspace", context_.workspace});
        event_fields.push_back({"rank", std::to_string(context_.rank)});
    }
    event_fields.push_back({"offers", std::to_string(context_.attempts)});
    if (context_.read_delay.count() > 0)
        event_fields.push_back(
            {"read_delay_ms", std::to_string(context_.read_delay.count())});
    if (exchange_.accept_delay().count() > 0)
        event_fields.push_back(
            {"accept_delay_ms",
             std::to_string(exchange_.accept_delay().count())});
    if (!context_.last_target.empty())
    {
        event_fields.push_back({"target", context_.last_target});
        event_fields.push_back(
            {"software_version", context_.last_software_version});
    }
    if (!context_.request.resumed_request_id.empty())
        event_fields.push_back(
            {"resumes", context_.request.resumed_request_id});
    if (!context_.request.resume_after.empty())
        event_fields.push_back({"resume_after", context_.request.resume_after});
    if (!context_.stream_version_source.empty())
        event_fields.push_back(
            {"version_source", context_.stream_version_source});
    if (context_.target_list_age)
        event_fields.push_back(
            {"target_list_age_ms",
             std::to_string(context_.target_list_age->count())});
    if (assignment_.expected_ms > 0)
        event_fields.push_back({"expected_ms", std::to_string(static_cast<int>(
                                                   assignment_.expected_ms))});
    add_step(event_fields, "reading", context_.prefill_step);
    add_step(event_fields, "decoding", context_.decode_step);
    if (!context_.last_error.empty())
        event_fields.push_back({"problem", context_.last_error});
    return event_fields;
}

} // namespace hibiscusferry
