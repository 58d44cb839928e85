#include "gateway/request/request_forwarder.hpp"

#include "gateway/request/request_limits.hpp"

#include <algorithm>

namespace hibiscusferry
{

namespace
{

/** A repeatable request is retried at another target after this many latency
    objectives without a byte of the response. */
constexpr int first_byte_timeout_objectives = 4;

/** Number of limited targets that are asked one by one to admit a request;
   after that, all others are passed over. */
constexpr std::size_t max_limit_checks = 16;

/** The caller may retry immediately: another host accepts its next
    connection. */
constexpr std::chrono::milliseconds stopping_backlog{1};

} // namespace

request_forwarder::request_forwarder(const gateway_services& services,
                                     http_exchange& exchange,
                                     std::mt19937_64& random)
    : services_(services)
    , exchange_(exchange)
    , random_(random)
{
    context_.reserved_memory.emplace(services.memory);
}

void request_forwarder::serve(boost::asio::yield_context yield)
{
    context_.caller = &exchange_;
    context_.arrived_at = exchange_.arrived_at();
    context_.read_delay = context_.elapsed(services_.core.now());
    services_.core.metrics()
        .durations_of("hibiscusferry_read_delay_seconds")
        .add(context_.read_delay);
    services_.core.metrics()
        .durations_of("hibiscusferry_accept_delay_seconds")
        .add(exchange_.accept_delay());
    context_.request = services_.callers.read(exchange_.request());
    exchange_.discard_request_body();
    if (context_.has_caller_left())
    {
        log_completion(event_number::request_abandoned, "caller_gone");
        return;
    }
    if (!admit(yield))
        return;
    exchange_.on_client_disconnect(
        [this]
        {
            context_.is_caller_disconnected = true;
            if (context_.active_connection != nullptr)
                context_.active_connection->close();
            if (suspended_)
                suspended_->upstream.close();
        });
    run(yield);
    suspended_ = nullptr;
    release_kv_cache();
}

bool request_forwarder::admit(boost::asio::yield_context yield)
{
    context_.routes = services_.fleet.routes();
    if (!context_.routes || !services_.fleet.has_target_list())
    {
        refuse(refusal_cause::no_configuration, no_target_backlog, yield);
        return false;
    }
    if (services_.fleet.is_configuration_overdue(services_.core.now()))
    {
        refuse(refusal_cause::configuration_outdated, no_target_backlog, yield);
        return false;
    }
    context_.matched_route = context_.routes->find(
        context_.request.host, context_.request.message.path());
    if (context_.matched_route == nullptr)
    {
        fail_request(refusal_cause::no_route, yield);
        return false;
    }
    context_.rank = context_.matched_route->rank;
    if (context_.routes->configuration().workspaces && !authenticate(yield))
        return false;
    const bool has_first_id = context_.is_resumption() &&
                              !context_.request.resumed_request_id.empty();
    // The service that began the stream, if the traffic is split.
    context_.service = route_table::select_service(
        *context_.matched_route, has_first_id
                                     ? context_.request.resumed_request_id
                                     : context_.request.id);
    context_.properties =
        context_.routes->configuration().service(context_.service);
    if (context_.is_resumption())
        context_.progress = stream_progress(context_.request.resume_after);
    std::chrono::milliseconds limit = context_.matched_route->time_limit;
    if (context_.request.time_left)
        limit = std::min(limit, *context_.request.time_left);
    context_.deadline = context_.arrived_at + limit;
    context_.latency_deadline =
        context_.arrived_at + context_.matched_route->latency_objective;
    const time_point now = services_.core.now();
    if (services_.fleet.will_stop_before(context_.deadline, now))
    {
        refuse(refusal_cause::stopping, stopping_backlog, yield);
        return false;
    }
    services_.fleet.budget(context_.service).count_request(now);
    return true;
}

bool request_forwarder::authenticate(boost::asio::yield_context yield)
{
    const std::string& key = context_.request.key;
    const workspace* const caller =
        key.empty() ? nullptr
                    : context_.routes->configuration().workspaces->find(key);
    const credential_result credentials = check_credentials(
        caller != nullptr, services_.fleet.configuration_confirmed_at(),
        context_.arrived_at, services_.fleet.settings().credentials());
    const bool is_accepted = credentials == credential_result::accepted;
    if (is_accepted)
    {
        context_.workspace = caller->name;
        context_.rank = caller->rank.value_or(context_.rank);
    }
    services_.callers.set_workspace(context_.request, context_.workspace);
    if (is_accepted || context_.matched_route->is_open)
        return true;
    if (credentials == credential_result::unverified)
    {
        refuse(refusal_cause::credentials_unverified, no_target_backlog, yield);
        return false;
    }
    services_.core.metrics()
        .counter_of(
            "hibiscusferry_refusals_total",
            "reason=\"" +
                std::string(to_text(refusal_cause::unknown_credentials)) + "\"")
        .add();
    fail_request(refusal_cause::unknown_credentials, yield);
    return false;
}

void request_forwarder::run(boost::asio::yield_context yield)
{
    if (!find_stream_version(yield))
        return;
    for (;;)
    {
        if (context_.has_caller_left())
        {
            log_completion(event_number::request_abandoned, "caller_gone");
            return;
        }
        if (!suspended_ && !check_quarantine(yield))
            return;
        next_step step = next_step::retry;
        const bool has_time =
            context_.time_left(services_.core.now()) >= min_time_to_attempt;
        scheduling_failure reason = scheduling_failure::no_target;
        if (has_time)
            assignment_ = schedule_within_limits(reason);
        // Once for each request, whatever happens to it later.
        if (has_time && context_.attempts == 0 && !suspended_)
            services_.fleet.refusals(context_.service)
                .add(!assignment_.decode_engine &&
                         reason != scheduling_failure::limited,
                     services_.core.now());
        if (has_time && assignment_.decode_engine)
            step = attempt(assignment_, yield);
        else if (!suspended_)
        {
            refuse_unscheduled(has_time, reason, yield);
            return;
        }
        // A silent target may still go on where the others cannot.
        while (suspended_ &&
               (step == next_step::retry || step == next_step::may_have_run ||
                (step == next_step::suspended &&
                 !try_retry(next_step::may_have_run))))
            step = resume_suspended(yield);
        if (step == next_step::completed)
            return;
        const bool may_continue =
            step == next_step::prefilled || step == next_step::suspended;
        if (may_continue || try_retry(step))
            continue;
        fail_request(context_.possible_run_targets.empty()
                         ? refusal_cause::target_refused
                         : refusal_cause::outcome_unknown,
                     yield);
        return;
    }
}

bool request_forwarder::check_quarantine(boost::asio::yield_context yield)
{
    if (context_.is_probe && context_.possible_run_targets.empty())
        return true;
    // A probe that failed is not repeated at another target.
    const request_treatment treatment =
        context_.is_probe
            ? request_treatment::refused
            : services_.quarantine.assess(
                  context_.request, context_.time_left(services_.core.now()));
    context_.is_probe = treatment == request_treatment::probe;
    if (treatment != request_treatment::refused)
        return true;
    const bool has_blocks = context_.request.prompt &&
                            context_.request.prompt->shared_block_count() > 0;
    context_.last_error = "suspected of crashing targets";
    if (has_blocks)
        context_.last_error +=
            ": " + context_.request.prompt->shared_block_ids();
    refuse(has_blocks ? refusal_cause::prompt_suspected
                      : refusal_cause::request_suspected,
           no_target_backlog, yield);
    return false;
}

void request_forwarder::refuse_unscheduled(bool has_time,
                                           scheduling_failure reason,
                                           boost::asio::yield_context yield)
{
    if (!has_time)
    {
        fail_request(refusal_cause::expired_before_attempt, yield);
        return;
    }
    if (reason == scheduling_failure::limited)
    {
        refuse(refusal_cause::target_limit, limit_backlog(), yield);
        return;
    }
    const bool is_busy = reason == scheduling_failure::busy;
    const std::chrono::milliseconds backlog =
        is_busy ? std::chrono::milliseconds(
                      static_cast<int>(assignment_.expected_ms))
                : std::max(no_target_backlog, refusal_time_left());
    refuse(is_busy ? refusal_cause::overloaded : refusal_cause::no_target,
           backlog, yield);
}

std::chrono::milliseconds request_forwarder::refusal_time_left() const
{
    const time_point now = services_.core.now();
    const scheduling_constraints request_constraints = constraints();
    target_list permitted_targets;
    for (const std::shared_ptr<target_view>& target :
         services_.fleet.registry().targets_for_service(context_.service))
    {
        if (request_constraints.permits_version_of(*target))
            permitted_targets.push_back(target);
    }
    const std::optional<time_point> end =
        earliest_refusal_end(permitted_targets, now);
    if (!end)
        return std::chrono::milliseconds(0);
    return std::chrono::duration_cast<std::chrono::milliseconds>(*end - now);
}

// ========================================================================
// Scheduling

scheduling_constraints request_forwarder::constraints() const
{
    scheduling_constraints request_constraints;
    request_constraints.availability_zone =
        services_.fleet.settings().availability_zone;
    request_constraints.live_hosts = services_.fleet.live_hosts();
    request_constraints.connection_allowance = connection_allowance(
        context_.properties != nullptr ? context_.properties->connection_limit
                                       : 1,
        request_constraints.live_hosts);
    request_constraints.excluded = context_.excluded;
    for (const std::shared_ptr<target_view>& target : context_.limited)
        request_constraints.excluded.push_back(target->record.id);
    request_constraints.software_version = context_.stream_software_version;
    return request_constraints;
}

engine_assignment request_forwarder::schedule(scheduling_failure& reason)
{
    const time_point now = services_.core.now();
    const std::vector<std::shared_ptr<target_view>>& targets =
        services_.fleet.registry().targets_for_service(context_.service);
    if (!is_generation())
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
    generation.rank = context_.rank;
    generation.latency_objective = context_.matched_route->latency_objective;
    // After a first attempt, a request that misses its latency objective is
    // served rather than refused.
    generation.time_to_objective = context_.attempts > 0
                                       ? std::chrono::milliseconds(0)
                                       : context_.time_to_objective(now);
    generation.time_to_deadline = context_.time_left(now);
    generation.event_gap_objective =
        context_.matched_route->event_gap_objective;
    // A probe reaches a single target, which both prefills and decodes.
    generation.may_transfer_kv =
        !context_.has_stream_started && !context_.is_probe;
    generation.delays = services_.fleet.delays(context_.service);
    generation.random_value =
        stable_hash(context_.request.id) + context_.attempts;
    generation.constraints = constraints();
    const engine_scheduler scheduler(with_assumed_speed(
        services_.fleet.performance(context_.service).estimates(now),
        generation, targets));
    return scheduler.schedule(targets, generation, *context_.properties->engine,
                              now, reason);
}

engine_assignment
request_forwarder::schedule_within_limits(scheduling_failure& reason)
{
    context_.limited.clear();
    for (std::size_t checks = 0;; ++checks)
    {
        const time_point now = services_.core.now();
        const engine_assignment assignment = schedule(reason);
        const target_list assigned{assignment.prefill_engine,
                                   assignment.decode_engine};
        if (!assignment.decode_engine)
        {
            if (!context_.limited.empty())
                reason = scheduling_failure::limited;
            context_.admissions.retain({});
            return assignment;
        }
        const std::shared_ptr<target_view> limited =
            context_.admissions.acquire(
                assigned, context_.rank, services_.fleet.live_hosts(),
                std::generate_canonical<double, 32>(random_), now);
        if (!limited)
        {
            context_.admissions.retain(assigned);
            return assignment;
        }
        context_.limited.push_back(limited);
        if (checks == max_limit_checks)
            exclude_limited_targets(now);
    }
}

void request_forwarder::exclude_limited_targets(time_point now)
{
    for (const std::shared_ptr<target_view>& target :
         services_.fleet.registry().targets_for_service(context_.service))
    {
        if (target->request_limit.rate(now) &&
            !context_.admissions.contains(*target))
            context_.limited.push_back(target);
    }
}

std::chrono::milliseconds request_forwarder::limit_backlog() const
{
    const time_point now = services_.core.now();
    double rate = 0;
    double demand = 0;
    for (const std::shared_ptr<target_view>& target : context_.limited)
    {
        rate += target->request_limit.rate(now).value_or(0);
        demand =
            std::max(demand, target->request_limit.demand(context_.rank, now));
    }
    if (rate <= 0)
        return no_target_backlog;
    // The time that the targets need for what a second of the demand exceeds
    // their limits, but at least for one request.
    const double excess = std::max(demand - rate, 1.0);
    constexpr std::chrono::seconds max_backlog{60};
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::min(std::chrono::duration<double>(excess / rate),
                 std::chrono::duration<double>(max_backlog)));
}

bool request_forwarder::is_generation() const
{
    return context_.request.prompt.has_value() &&
           context_.properties != nullptr &&
           context_.properties->engine.has_value();
}

std::chrono::milliseconds
request_forwarder::first_byte_timeout(bool is_repeatable) const
{
    if (!is_repeatable)
        return context_.matched_route->time_limit;
    return std::max<std::chrono::milliseconds>(
        first_byte_timeout_objectives *
            context_.matched_route->latency_objective,
        min_first_byte_timeout);
}

// ========================================================================
// Attempts

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
    std::unique_ptr<target_attempt> current =
        std::make_unique<target_attempt>(services_, context_, assignment);
    attempt_options options{context_.request, current->target->record};
    options.rank = context_.rank;
    options.kv_cache = context_.kv_cache;
    options.resume_after = context_.progress.last_event_id();
    const attempt_result outcome = current->upstream.send(
        options, first_byte_timeout(context_.matched_route->is_safe_to_retry()),
        yield);
    const bool is_accepted = outcome == attempt_result::response_received ||
                             outcome == attempt_result::silent ||
                             outcome == attempt_result::unknown;
    if (is_accepted)
        context_.kv_cache.reset();
    if (context_.kv_cache && outcome == attempt_result::not_run &&
        !can_reuse_kv_cache(*current->target))
    {
        context_.excluded.push_back(context_.kv_cache_engine->record.id);
        release_kv_cache();
    }
    return complete_attempt(std::move(current), outcome, yield);
}

request_forwarder::next_step
request_forwarder::complete_attempt(std::unique_ptr<target_attempt> current,
                                    attempt_result outcome,
                                    boost::asio::yield_context yield)
{
    const std::chrono::milliseconds timeout =
        first_byte_timeout(context_.matched_route->is_safe_to_retry());
    while (outcome == attempt_result::silent)
    {
        log_silence(*current);
        const bool goes_on_elsewhere =
            suspended_ && suspended_->upstream.has_unread_data();
        if (goes_on_elsewhere)
            return handle_failed_attempt(attempt_result::unknown, *current);
        if (has_alternative_to(*current->target))
            return suspend(std::move(current));
        outcome = current->upstream.wait(timeout, yield);
    }
    const bool may_have_run = outcome == attempt_result::response_received ||
                              outcome == attempt_result::unknown ||
                              outcome == attempt_result::deadline_exceeded ||
                              outcome == attempt_result::caller_disconnected;
    const bool was_sent = current->upstream.sent_at() != time_point{};
    if (may_have_run && was_sent &&
        context_.matched_route->kind != request_kind::streaming)
        record_usage(current->upstream.sent_at());
    if (outcome == attempt_result::unknown &&
        current->upstream.is_connection_broken())
        report_broken_attempt(*current, yield);
    if (outcome != attempt_result::response_received)
        return handle_failed_attempt(outcome, *current);
    if (!current->upstream.has_failed())
        suspended_ = nullptr;
    current->response_start = services_.core.now();
    if (is_generation())
        observe_response_start(*current);
    return relay_response(std::move(current), yield);
}

void request_forwarder::record_usage(time_point began_at)
{
    if (services_.usage == nullptr || context_.is_usage_recorded)
        return;
    context_.is_usage_recorded = true;
    services_.usage->record_start(context_.workspace, began_at);
}

request_forwarder::next_step
request_forwarder::attempt_prefill(const engine_assignment& assignment,
                                   boost::asio::yield_context yield)
{
    const std::shared_ptr<target_view> prefill_engine =
        assignment.prefill_engine;
    const double tokens = context_.request.prompt->prompt_tokens;
    const target_load_guard work(prefill_engine,
                                 assignment.pending_prefill_tokens, tokens,
                                 services_.core.time(), context_.rank);
    target_exchange upstream(services_, context_, prefill_engine);
    attempt_options options{context_.request, prefill_engine->record};
    options.rank = context_.rank;
    options.prefill_only = true;
    if (assignment.prefix_source)
        options.source_engine = assignment.prefix_source->record.endpoint;
    if (context_.has_attempted_prefill)
        services_.fleet.budget(context_.service)
            .count_retry(services_.core.now());
    context_.has_attempted_prefill = true;

    // A prefill does not run the request, so it is always repeatable.
    const time_point prefill_start = services_.core.now();
    attempt_result attempt_outcome =
        upstream.send(options, first_byte_timeout(true), yield);
    while (attempt_outcome == attempt_result::silent &&
           !can_retry_without(*prefill_engine))
        attempt_outcome = upstream.wait(first_byte_timeout(true), yield);
    if (attempt_outcome == attempt_result::response_received &&
        upstream.head().status == 200)
    {
        const result<std::string> body = upstream.read_body(yield);
        const result<kv_cache_handle> kv_cache =
            body ? services_.targets.read_kv_cache_handle(
                       body.value(), prefill_engine->record)
                 : result<kv_cache_handle>(body.error());
        if (body)
            upstream.finish();
        if (kv_cache)
        {
            context_.kv_cache = kv_cache.value();
            context_.kv_cache_engine = prefill_engine;
            prefill_engine->cached_prefixes.add(
                *context_.request.prompt,
                context_.properties->engine->kv_capacity_tokens);
            const std::chrono::nanoseconds duration =
                services_.core.now() - prefill_start;
            if (!upstream.was_silent())
            {
                observe_prefill(assignment, duration);
                record_step(
                    prefill_engine, assignment.prefill_baseline_ms, duration,
                    services_.fleet.delays(context_.service).prefill_engines,
                    context_.prefill_step);
            }
            services_.fleet.record_outcome(*prefill_engine,
                                           exchange_outcome::responded,
                                           context_.request.id);
            return next_step::prefilled;
        }
    }
    if (attempt_outcome == attempt_result::response_received &&
        !context_.is_caller_disconnected)
        services_.fleet.record_outcome(
            *prefill_engine, exchange_outcome::broken, context_.request.id);
    if (attempt_outcome == attempt_result::not_run)
        services_.fleet.budget(context_.service)
            .count_retry(services_.core.now());
    log_failed_attempt(*prefill_engine, upstream, "prefill");
    context_.excluded.push_back(prefill_engine->record.id);
    return next_step::retry;
}

bool request_forwarder::can_reuse_kv_cache(
    const target_view& decode_engine) const
{
    // If the engine had free slots, it refused because the fetch failed.
    const bool was_full = decode_engine.load && decode_engine.load->running >=
                                                    decode_engine.load->slots;
    return was_full && !context_.kv_cache_engine->is_withdrawn;
}

void request_forwarder::release_kv_cache()
{
    if (!context_.kv_cache)
        return;
    // The handle of an engine that wants no requests expires by itself.
    if (services_.core.now() < context_.kv_cache_engine->refuses_until)
    {
        context_.kv_cache.reset();
        return;
    }
    // Counted, but never held back: it gives the engine memory.
    context_.kv_cache_engine->request_limit.record_request(
        services_.core.now());
    constexpr std::chrono::milliseconds release_timeout{500};
    constexpr std::size_t max_release_response_bytes = 4096;
    http_call(services_.core.context(), services_.core.connections(),
              context_.kv_cache->engine,
              services_.targets.write_release(*context_.kv_cache),
              release_timeout, max_release_response_bytes,
              [](const result<http_response>&) {});
    context_.kv_cache.reset();
}

request_forwarder::next_step
request_forwarder::handle_failed_attempt(attempt_result attempt_outcome,
                                         const target_attempt& current)
{
    const target_view& target = *current.target;
    context_.excluded.push_back(target.record.id);
    context_.last_evidence = current.upstream.evidence();
    log_failed_attempt(target, current.upstream,
                       is_generation() ? "decode" : "");
    const bool may_have_run =
        attempt_outcome == attempt_result::unknown ||
        attempt_outcome == attempt_result::deadline_exceeded ||
        attempt_outcome == attempt_result::caller_disconnected;
    if (!may_have_run)
        return next_step::retry;
    context_.possible_run_targets.insert(target.record.id);
    return next_step::may_have_run;
}

bool request_forwarder::try_retry(next_step step)
{
    if (context_.is_caller_disconnected)
        return true; // run() completes the request.
    const time_point now = services_.core.now();
    const bool is_safe =
        step == next_step::retry || context_.matched_route->is_safe_to_retry();
    // A request that crashed its target would crash the next one as well.
    const bool has_targets =
        may_run_at_another_target() && !context_.has_crashed_target;
    // A request that was never sent needs no retry budget.
    const bool is_unsent = context_.attempts == 0;
    const bool is_allowed =
        is_safe && has_targets &&
        (is_unsent || services_.fleet.budget(context_.service)
                          .try_spend(now, services_.fleet.live_hosts()));
    std::vector<event_field> event_fields = fields();
    event_fields.push_back({"is_safe", is_safe ? "yes" : "no"});
    event_fields.push_back({"targets_left", has_targets ? "yes" : "no"});
    event_fields.push_back(
        {"budget_left",
         std::to_string(services_.fleet.budget(context_.service)
                            .remaining(now, services_.fleet.live_hosts()))});
    services_.core.journal().record(is_allowed ? event_number::request_resent
                                               : event_number::resend_denied,
                                    std::move(event_fields));
    return is_allowed;
}

} // namespace hibiscusferry
