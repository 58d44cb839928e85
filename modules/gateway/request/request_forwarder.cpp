#include "gateway/request/request_forwarder.hpp"

#include "gateway/request/request_limits.hpp"

#include <algorithm>

namespace hibiscusferry
{

namespace
{

/** A target that may be replaced is given up after this many latency
    objectives without a byte. */
constexpr int objectives_until_silent = 4;

/** Another host takes the caller's next connection at once. */
constexpr std::chrono::milliseconds backlog_of_stop{1};

} // namespace

request_forwarder::request_forwarder(const gateway_services& services,
                                     http_exchange& exchange,
                                     std::mt19937_64& random)
    : services_(services)
    , exchange_(exchange)
    , random_(random)
{
}

void request_forwarder::serve(boost::asio::yield_context yield)
{
    context_.arrived_at = services_.core.now();
    context_.request = services_.callers.read(exchange_.request());
    if (!admit(yield))
        return;
    exchange_.on_client_disconnect(
        [this]
        {
            context_.is_caller_gone = true;
            if (context_.open_connection != nullptr)
                context_.open_connection->close();
        });
    run(yield);
    release_copy();
}

bool request_forwarder::admit(boost::asio::yield_context yield)
{
    context_.routes = services_.fleet.routes();
    if (!context_.routes || !services_.fleet.knows_targets())
    {
        refuse(refusal_cause::no_configuration, backlog_without_targets, yield);
        return false;
    }
    context_.found = context_.routes->find(context_.request.host,
                                           context_.request.message.path());
    if (context_.found == nullptr)
    {
        give_up(refusal_cause::no_route, yield);
        return false;
    }
    context_.service =
        route_table::service_of(*context_.found, context_.request.id);
    context_.properties =
        context_.routes->configuration().service(context_.service);
    std::chrono::milliseconds limit = context_.found->time_limit;
    if (context_.request.time_left)
        limit = std::min(limit, *context_.request.time_left);
    context_.deadline = context_.arrived_at + limit;
    context_.late_at = context_.arrived_at + context_.found->latency_objective;
    if (services_.fleet.stops_before(context_.deadline, context_.arrived_at))
    {
        refuse(refusal_cause::stopping, backlog_of_stop, yield);
        return false;
    }
    services_.fleet.budget(context_.service).count_request(context_.arrived_at);
    return true;
}

void request_forwarder::run(boost::asio::yield_context yield)
{
    for (;;)
    {
        if (context_.is_caller_gone)
        {
            log_end(event_number::request_abandoned, "caller_gone");
            return;
        }
        if (context_.time_left(services_.core.now()) < min_time_to_attempt)
        {
            give_up(refusal_cause::out_of_time, yield);
            return;
        }
        scheduling_failure reason = scheduling_failure::no_target;
        assignment_ = schedule(reason);
        if (!assignment_.decode_engine)
        {
            const std::chrono::milliseconds backlog =
                reason == scheduling_failure::busy
                    ? std::chrono::milliseconds(
                          static_cast<int>(assignment_.expected_ms))
                    : backlog_without_targets;
            refuse(reason == scheduling_failure::busy
                       ? refusal_cause::overloaded
                       : refusal_cause::no_target,
                   backlog, yield);
            return;
        }
        const next_step step = attempt(assignment_, yield);
        if (step == next_step::ended)
            return;
        if (step == next_step::read || may_send_again(step))
            continue;
        give_up(context_.ran_at.empty() ? refusal_cause::target_refused
                                        : refusal_cause::outcome_unknown,
                yield);
        return;
    }
}

// ========================================================================
// Placing

scheduling_constraints request_forwarder::constraints() const
{
    scheduling_constraints terms;
    terms.availability_zone = services_.fleet.settings().availability_zone;
    terms.live_hosts = services_.fleet.live_hosts();
    terms.connection_allowance = connection_allowance(
        context_.properties != nullptr ? context_.properties->connection_limit
                                       : 1,
        terms.live_hosts);
    terms.excluded = context_.excluded;
    return terms;
}

engine_assignment request_forwarder::schedule(scheduling_failure& reason)
{
    const time_point now = services_.core.now();
    const std::vector<std::shared_ptr<target_view>>& targets =
        services_.fleet.registry().of_service(context_.service);
    const bool is_generation = context_.request.prompt.has_value() &&
                               context_.properties != nullptr &&
                               context_.properties->engine.has_value();
    if (!is_generation)
    {
        engine_assignment assignment;
        assignment.decode_engine =
            server_scheduler::schedule(targets, constraints(), now, reason);
        return assignment;
    }

    generation_request generation;
    generation.prompt = &*context_.request.prompt;
    generation.prefilled_by =
        context_.kv_cache ? context_.kv_cache_engine : nullptr;
    // What was offered before is served late rather than not at all.
    generation.time_to_objective = context_.attempts > 0
                                       ? std::chrono::milliseconds(0)
                                       : context_.time_to_objective(now);
    generation.time_to_deadline = context_.time_left(now);
    generation.may_transfer_kv = context_.last_event.empty();
    generation.delays = services_.fleet.delays(context_.service);
    generation.draw = stable_hash(context_.request.id) + context_.attempts;
    generation.constraints = constraints();
    const engine_scheduler scheduler{engine_speeds{}};
    return scheduler.schedule(targets, generation, *context_.properties->engine,
                              now, reason);
}

std::chrono::milliseconds
request_forwarder::first_byte_limit(bool is_repeatable) const
{
    if (!is_repeatable)
        return context_.found->time_limit;
    return std::max<std::chrono::milliseconds>(
        objectives_until_silent * context_.found->latency_objective,
        shortest_first_byte_limit);
}

// ========================================================================
// Offers

request_forwarder::next_step
request_forwarder::attempt(const engine_assignment& assignment,
                           boost::asio::yield_context yield)
{
    return assignment.prefill_engine ? attempt_prefill(assignment, yield)
                                     : attempt_decode(assignment, yield);
}

request_forwarder::next_step
request_forwarder::attempt_decode(const engine_assignment& assignment,
                                  boost::asio::yield_context yield)
{
    const std::shared_ptr<target_view> target = assignment.decode_engine;
    const double prompt_tokens =
        context_.request.prompt ? context_.request.prompt->prompt_tokens : 0;
    const double output_tokens =
        context_.request.prompt ? context_.request.prompt->output_tokens : 0;
    target_work work(target,
                     context_.kv_cache ? 0 : assignment.pending_prefill_tokens,
                     prompt_tokens + output_tokens, services_.core.time());
    target_exchange offered(services_, context_, target);
    attempt_options terms{context_.request, target->record};
    terms.rank = context_.found->rank;
    terms.kv_cache = context_.kv_cache;
    terms.resume_after = context_.last_event;
    const time_point offered_at = services_.core.now();
    const attempt_result sent = offered.send(
        terms, first_byte_limit(context_.found->may_repeat()), yield);
    const bool is_taken =
        sent == attempt_result::answered || sent == attempt_result::unknown;
    if (is_taken)
        context_.kv_cache.reset();
    if (context_.kv_cache && sent == attempt_result::not_run &&
        !may_keep_copy(*target))
    {
        context_.excluded.push_back(context_.kv_cache_engine->record.id);
        release_copy();
    }
    if (sent != attempt_result::answered)
        return after_offer(sent, *target);
    if (context_.request.prompt)
    {
        note_step(target, assignment.decode_baseline_ms,
                  services_.core.now() - offered_at,
                  services_.fleet.delays(context_.service).decode_engines,
                  context_.decoding);
        target->cached_prefixes.add(*context_.request.prompt);
    }
    return deliver(offered, *target, work, yield);
}

request_forwarder::next_step
request_forwarder::attempt_prefill(const engine_assignment& assignment,
                                   boost::asio::yield_context yield)
{
    const std::shared_ptr<target_view> prefill_engine =
        assignment.prefill_engine;
    const double tokens = context_.request.prompt->prompt_tokens;
    const target_work work(prefill_engine, assignment.pending_prefill_tokens,
                           tokens, services_.core.time());
    target_exchange offered(services_, context_, prefill_engine);
    attempt_options terms{context_.request, prefill_engine->record};
    terms.rank = context_.found->rank;
    terms.prefill_only = true;
    if (assignment.prefix_source)
        terms.source_engine = assignment.prefix_source->record.endpoint;
    if (context_.has_asked_reader)
        services_.fleet.budget(context_.service)
            .count_send(services_.core.now());
    context_.has_asked_reader = true;

    // Reading a prompt is not running the request: it may be done again.
    const time_point asked_at = services_.core.now();
    const attempt_result sent =
        offered.send(terms, first_byte_limit(true), yield);
    if (sent == attempt_result::answered && offered.head().status == 200)
    {
        const result<std::string> body = offered.read_body(yield);
        const result<kv_cache_handle> kv_cache =
            body ? services_.targets.read_kv_cache_handle(
                       body.value(), prefill_engine->record)
                 : result<kv_cache_handle>(body.error());
        if (body)
            offered.finish();
        if (kv_cache)
        {
            context_.kv_cache = kv_cache.value();
            context_.kv_cache_engine = prefill_engine;
            prefill_engine->cached_prefixes.add(*context_.request.prompt);
            note_step(prefill_engine, assignment.prefill_baseline_ms,
                      services_.core.now() - asked_at,
                      services_.fleet.delays(context_.service).prefill_engines,
                      context_.reading);
            services_.fleet.record_outcome(*prefill_engine,
                                           exchange_outcome::answered,
                                           context_.request.id);
            return next_step::read;
        }
    }
    if (sent == attempt_result::answered && !context_.is_caller_gone)
        services_.fleet.record_outcome(
            *prefill_engine, exchange_outcome::broken, context_.request.id);
    if (sent == attempt_result::not_run)
        services_.fleet.budget(context_.service)
            .count_send(services_.core.now());
    context_.excluded.push_back(prefill_engine->record.id);
    return next_step::again;
}

bool request_forwarder::may_keep_copy(const target_view& decode_engine) const
{
    // A decoder that was not full could not fetch the copy.
    const bool was_full = decode_engine.load && decode_engine.load->running >=
                                                    decode_engine.load->slots;
    return was_full && !context_.kv_cache_engine->is_leaving;
}

void request_forwarder::release_copy()
{
    if (!context_.kv_cache)
        return;
    constexpr std::chrono::milliseconds release_limit{500};
    constexpr std::size_t release_answer_bytes = 4096;
    http_call(services_.core.context(), services_.core.connections(),
              context_.kv_cache->engine,
              services_.targets.write_release(*context_.kv_cache),
              release_limit, release_answer_bytes,
              [](const result<http_response>&) {});
    context_.kv_cache.reset();
}

void request_forwarder::note_step(const std::shared_ptr<target_view>& target,
                                  double expected_ms,
                                  std::chrono::nanoseconds taken,
                                  observed_delay& stage,
                                  std::optional<timed_step>& step)
{
    const time_point now = services_.core.now();
    target->delay.add(expected_ms, taken, now);
    stage.add(expected_ms, taken, now);
    step = {target->record.id,
            std::chrono::milliseconds(static_cast<int>(expected_ms)),
            std::chrono::duration_cast<std::chrono::milliseconds>(taken)};
}

request_forwarder::next_step request_forwarder::after_offer(attempt_result sent,
                                                            target_view& target)
{
    context_.excluded.push_back(target.record.id);
    services_.core.journal().record(
        event_number::attempt_failed,
        {{"request", context_.request.id},
         {"target", target.record.id},
         {"problem", context_.last_problem},
         {"elapsed_ms",
          std::to_string(context_.elapsed(services_.core.now()).count())}});
    const bool may_have_run = sent == attempt_result::unknown ||
                              sent == attempt_result::out_of_time ||
                              sent == attempt_result::caller_gone;
    if (!may_have_run)
        return next_step::again;
    context_.ran_at.insert(target.record.id);
    return next_step::may_have_run;
}

bool request_forwarder::may_send_again(next_step step)
{
    if (context_.is_caller_gone)
        return true; // run() ends it.
    const time_point now = services_.core.now();
    const bool is_safe =
        step == next_step::again || context_.found->may_repeat();
    const bool has_targets =
        context_.ran_at.size() < context_.found->target_limit;
    const bool has_time = context_.time_left(now) >= min_time_to_attempt;
    // What never left this host is no further send.
    const bool is_free = context_.attempts == 0;
    const bool is_allowed =
        is_safe && has_targets && has_time &&
        (is_free || services_.fleet.budget(context_.service)
                        .try_spend(now, services_.fleet.live_hosts()));
    std::vector<event_field> described = fields();
    described.push_back({"is_safe", is_safe ? "yes" : "no"});
    described.push_back({"targets_left", has_targets ? "yes" : "no"});
    described.push_back(
        {"budget_left",
         std::to_string(services_.fleet.budget(context_.service)
                            .left(now, services_.fleet.live_hosts()))});
    services_.core.journal().record(is_allowed ? event_number::request_resent
                                               : event_number::resend_denied,
                                    std::move(described));
    return is_allowed;
}

} // namespace hibiscusferry
