#include "gateway/request/request_forwarder.hpp"

#include "gateway/request/request_limits.hpp"

// The part of request_forwarder that ends a request, and says so in the log.

namespace hibiscusferry
{

namespace
{

/** Of requests that went well, one in this many is logged, chosen by the
    request's id so that all hosts choose alike. */
constexpr std::uint64_t logged_success_share = 16;

void add_step(std::vector<event_field>& described, const std::string& name,
              const std::optional<timed_step>& step)
{
    if (!step)
        return;
    described.push_back({name + "_at", step->target});
    described.push_back({name + "_ms", std::to_string(step->taken.count())});
    described.push_back(
        {name + "_expected_ms", std::to_string(step->expected.count())});
}

} // namespace

void request_forwarder::refuse(refusal_cause reason,
                               std::chrono::milliseconds backlog,
                               boost::asio::yield_context yield)
{
    if (!context_.ran_at.empty() || context_.has_stream_begun)
    {
        give_up(refusal_cause::outcome_unknown, yield);
        return;
    }
    const refusal answer{reason, retry_delay(backlog, random_())};
    const result<void> sent =
        exchange_.respond(services_.callers.write(answer), yield);
    services_.core.metrics()
        .counter_of("hibiscusferry_refusals_total",
                    "reason=\"" + std::string(to_text(reason)) + "\"")
        .add();
    std::vector<event_field> described = fields();
    described.push_back({"reason", std::string(to_text(reason))});
    described.push_back(
        {"return_after_ms", std::to_string(answer.retry_after->count())});
    described.push_back({"sent", sent ? "yes" : "no"});
    services_.core.journal().record(event_number::request_refused,
                                    std::move(described));
}

void request_forwarder::give_up(refusal_cause reason,
                                boost::asio::yield_context yield)
{
    if (context_.has_stream_begun)
    {
        // Ends without its final chunk, so that the caller sees the break.
        log_end(event_number::stream_broken, context_.last_problem);
        return;
    }
    if (failed_answer_)
    {
        const result<void> sent =
            exchange_.respond(failed_answer_->response, yield);
        log_end(sent ? event_number::request_finished
                     : event_number::request_abandoned,
                std::to_string(failed_answer_->response.status));
        return;
    }
    const bool may_have_run = !context_.ran_at.empty();
    const bool is_own_fault = reason == refusal_cause::no_route ||
                              reason == refusal_cause::bad_request;
    if (!may_have_run && !is_own_fault)
    {
        refuse(reason, backlog_without_targets, yield);
        return;
    }
    const bool is_over =
        may_have_run &&
        context_.time_left(services_.core.now()) < min_time_to_attempt;
    const refusal answer{is_over ? refusal_cause::deadline_exceeded : reason,
                         std::nullopt};
    const result<void> sent =
        exchange_.respond(services_.callers.write(answer), yield);
    log_end(sent ? event_number::request_failed
                 : event_number::request_abandoned,
            std::string(to_text(answer.reason)));
}

void request_forwarder::log_end(event_number number, const std::string& outcome)
{
    const std::chrono::milliseconds elapsed =
        context_.elapsed(services_.core.now());
    const std::string route_label =
        context_.found != nullptr ? "route=\"" + context_.found->name + "\""
                                  : std::string();
    services_.core.metrics()
        .counter_of("hibiscusferry_requests_total",
                    "event=\"" + std::string(definition_of(number).name) + "\"")
        .add();
    if (context_.first_event_after)
        services_.core.metrics()
            .durations_of("hibiscusferry_first_event_seconds", route_label)
            .add(*context_.first_event_after);
    const bool is_plain = number == event_number::request_finished &&
                          context_.attempts <= 2 && context_.excluded.empty();
    if (is_plain &&
        stable_hash(context_.request.id) % logged_success_share != 0)
        return;
    std::vector<event_field> described = fields();
    described.push_back({"outcome", outcome});
    described.push_back({"elapsed_ms", std::to_string(elapsed.count())});
    if (context_.first_event_after)
        described.push_back(
            {"first_event_ms",
             std::to_string(context_.first_event_after->count())});
    services_.core.journal().record(number, std::move(described));
}

std::vector<event_field> request_forwarder::fields() const
{
    std::vector<event_field> described{{"request", context_.request.id}};
    if (context_.found != nullptr)
    {
        described.push_back({"route", context_.found->name});
        described.push_back(
            {"version",
             std::to_string(context_.routes->configuration().version)});
        described.push_back({"service", context_.service});
        described.push_back({"rank", std::to_string(context_.found->rank)});
    }
    described.push_back({"offers", std::to_string(context_.attempts)});
    if (!context_.last_target.empty())
        described.push_back({"target", context_.last_target});
    if (assignment_.expected_ms > 0)
        described.push_back({"expected_ms", std::to_string(static_cast<int>(
                                                assignment_.expected_ms))});
    add_step(described, "reading", context_.reading);
    add_step(described, "decoding", context_.decoding);
    if (!context_.last_problem.empty())
        described.push_back({"problem", context_.last_problem});
    return described;
}

} // namespace hibiscusferry
