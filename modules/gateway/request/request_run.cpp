#include "gateway/request/request_run.hpp"

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

request_run::request_run(const gateway_parts& parts, http_exchange& exchange,
                         std::mt19937_64& draws)
    : parts_(parts)
    , exchange_(exchange)
    , draws_(draws)
{
}

void request_run::serve(boost::asio::yield_context yield)
{
    context_.arrived_at = parts_.core.now();
    context_.request = parts_.callers.read(exchange_.request());
    if (!admit(yield))
        return;
    exchange_.on_client_gone(
        [this]
        {
            context_.is_caller_gone = true;
            if (context_.open_connection != nullptr)
                context_.open_connection->close();
        });
    run(yield);
    release_copy();
}

bool request_run::admit(boost::asio::yield_context yield)
{
    context_.routes = parts_.fleet.routes();
    if (!context_.routes || !parts_.fleet.knows_targets())
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
    if (parts_.fleet.stops_before(context_.deadline, context_.arrived_at))
    {
        refuse(refusal_cause::stopping, backlog_of_stop, yield);
        return false;
    }
    parts_.fleet.budget(context_.service).count_request(context_.arrived_at);
    return true;
}

void request_run::run(boost::asio::yield_context yield)
{
    for (;;)
    {
        if (context_.is_caller_gone)
        {
            log_end(event_number::request_abandoned, "caller_gone");
            return;
        }
        if (context_.time_left(parts_.core.now()) < least_time_to_offer)
        {
            give_up(refusal_cause::out_of_time, yield);
            return;
        }
        no_place reason = no_place::no_target;
        placement_ = place(reason);
        if (!placement_.decoder)
        {
            const std::chrono::milliseconds backlog =
                reason == no_place::busy
                    ? std::chrono::milliseconds(
                          static_cast<int>(placement_.expected_ms))
                    : backlog_without_targets;
            refuse(reason == no_place::busy ? refusal_cause::overloaded
                                            : refusal_cause::no_target,
                   backlog, yield);
            return;
        }
        const next_step step = offer(placement_, yield);
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

server_request request_run::placing_terms() const
{
    server_request terms;
    terms.availability_zone = parts_.fleet.settings().availability_zone;
    terms.live_hosts = parts_.fleet.live_hosts();
    terms.connection_allowance = connection_allowance(
        context_.properties != nullptr ? context_.properties->connection_limit
                                       : 1,
        terms.live_hosts);
    terms.excluded = context_.excluded;
    return terms;
}

engine_placement request_run::place(no_place& reason)
{
    const time_point now = parts_.core.now();
    const std::vector<std::shared_ptr<target_view>>& targets =
        parts_.fleet.board().of_service(context_.service);
    const bool is_generation = context_.request.wanted.has_value() &&
                               context_.properties != nullptr &&
                               context_.properties->engine.has_value();
    if (!is_generation)
    {
        engine_placement placement;
        placement.decoder =
            server_placer::place(targets, placing_terms(), now, reason);
        return placement;
    }

    engine_request wanted;
    wanted.wanted = &*context_.request.wanted;
    wanted.has_read = context_.copy ? context_.copy_keeper : nullptr;
    // What was offered before is served late rather than not at all.
    wanted.until_late = context_.offers > 0 ? std::chrono::milliseconds(0)
                                            : context_.until_late(now);
    wanted.until_useless = context_.time_left(now);
    wanted.may_hand_over = context_.last_event.empty();
    wanted.delays = parts_.fleet.delays(context_.service);
    wanted.draw = stable_hash(context_.request.id) + context_.offers;
    wanted.common = placing_terms();
    const engine_placer placer{engine_speeds{}};
    return placer.place(targets, wanted, *context_.properties->engine, now,
                        reason);
}

std::chrono::milliseconds
request_run::first_byte_limit(bool is_repeatable) const
{
    if (!is_repeatable)
        return context_.found->time_limit;
    return std::max<std::chrono::milliseconds>(
        objectives_until_silent * context_.found->latency_objective,
        shortest_first_byte_limit);
}

// ========================================================================
// Offers

request_run::next_step request_run::offer(const engine_placement& placement,
                                          boost::asio::yield_context yield)
{
    return placement.reader ? read_prompt(placement, yield)
                            : offer_to_decoder(placement, yield);
}

request_run::next_step
request_run::offer_to_decoder(const engine_placement& placement,
                              boost::asio::yield_context yield)
{
    const std::shared_ptr<target_view> target = placement.decoder;
    const double prompt_tokens =
        context_.request.wanted ? context_.request.wanted->prompt_tokens : 0;
    const double output_tokens =
        context_.request.wanted ? context_.request.wanted->output_tokens : 0;
    target_work work(target, context_.copy ? 0 : placement.unread_tokens,
                     prompt_tokens + output_tokens, parts_.core.time());
    target_exchange offered(parts_, context_, target);
    offer_terms terms{context_.request, target->record};
    terms.rank = context_.found->rank;
    terms.copy = context_.copy;
    terms.resume_after = context_.last_event;
    const time_point offered_at = parts_.core.now();
    const offer_result sent = offered.send(
        terms, first_byte_limit(context_.found->may_repeat()), yield);
    const bool is_taken =
        sent == offer_result::answered || sent == offer_result::unknown;
    if (is_taken)
        context_.copy.reset();
    if (context_.copy && sent == offer_result::not_run &&
        !may_keep_copy(*target))
    {
        context_.excluded.push_back(context_.copy_keeper->record.id);
        release_copy();
    }
    if (sent != offer_result::answered)
        return after_offer(sent, *target);
    if (context_.request.wanted)
    {
        note_step(
            target, placement.decoder_plain_ms, parts_.core.now() - offered_at,
            parts_.fleet.delays(context_.service).decoders, context_.decoding);
        target->kept.add(*context_.request.wanted);
    }
    return deliver(offered, *target, work, yield);
}

request_run::next_step
request_run::read_prompt(const engine_placement& placement,
                         boost::asio::yield_context yield)
{
    const std::shared_ptr<target_view> reader = placement.reader;
    const double tokens = context_.request.wanted->prompt_tokens;
    const target_work work(reader, placement.unread_tokens, tokens,
                           parts_.core.time());
    target_exchange offered(parts_, context_, reader);
    offer_terms terms{context_.request, reader->record};
    terms.rank = context_.found->rank;
    terms.reads_only = true;
    if (placement.reader_fetches_from)
        terms.keeper = placement.reader_fetches_from->record.endpoint;
    if (context_.has_asked_reader)
        parts_.fleet.budget(context_.service).count_send(parts_.core.now());
    context_.has_asked_reader = true;

    // Reading a prompt is not running the request: it may be done again.
    const time_point asked_at = parts_.core.now();
    const offer_result sent =
        offered.send(terms, first_byte_limit(true), yield);
    if (sent == offer_result::answered && offered.head().status == 200)
    {
        const result<std::string> body = offered.read_body(yield);
        const result<kv_copy> copy =
            body ? parts_.targets.read_copy(body.value(), reader->record)
                 : result<kv_copy>(body.error());
        if (body)
            offered.finish();
        if (copy)
        {
            context_.copy = copy.value();
            context_.copy_keeper = reader;
            reader->kept.add(*context_.request.wanted);
            note_step(reader, placement.reader_plain_ms,
                      parts_.core.now() - asked_at,
                      parts_.fleet.delays(context_.service).readers,
                      context_.reading);
            parts_.fleet.record_outcome(*reader, exchange_outcome::answered,
                                        context_.request.id);
            return next_step::read;
        }
    }
    if (sent == offer_result::answered && !context_.is_caller_gone)
        parts_.fleet.record_outcome(*reader, exchange_outcome::broken,
                                    context_.request.id);
    if (sent == offer_result::not_run)
        parts_.fleet.budget(context_.service).count_send(parts_.core.now());
    context_.excluded.push_back(reader->record.id);
    return next_step::again;
}

bool request_run::may_keep_copy(const target_view& decoder) const
{
    // A decoder that was not full could not fetch the copy.
    const bool was_full =
        decoder.load && decoder.load->running >= decoder.load->slots;
    return was_full && !context_.copy_keeper->is_leaving;
}

void request_run::release_copy()
{
    if (!context_.copy)
        return;
    constexpr std::chrono::milliseconds release_limit{500};
    constexpr std::size_t release_answer_bytes = 4096;
    http_call(parts_.core.context(), parts_.core.connections(),
              context_.copy->engine,
              parts_.targets.write_release(*context_.copy), release_limit,
              release_answer_bytes, [](const result<http_response>&) {});
    context_.copy.reset();
}

void request_run::note_step(const std::shared_ptr<target_view>& target,
                            double expected_ms, std::chrono::nanoseconds taken,
                            observed_delay& stage,
                            std::optional<timed_step>& step)
{
    const time_point now = parts_.core.now();
    target->delay.add(expected_ms, taken, now);
    stage.add(expected_ms, taken, now);
    step = {target->record.id,
            std::chrono::milliseconds(static_cast<int>(expected_ms)),
            std::chrono::duration_cast<std::chrono::milliseconds>(taken)};
}

request_run::next_step request_run::after_offer(offer_result sent,
                                                target_view& target)
{
    context_.excluded.push_back(target.record.id);
    parts_.core.journal().record(
        event_number::attempt_failed,
        {{"request", context_.request.id},
         {"target", target.record.id},
         {"problem", context_.last_problem},
         {"elapsed_ms",
          std::to_string(context_.elapsed(parts_.core.now()).count())}});
    const bool may_have_run = sent == offer_result::unknown ||
                              sent == offer_result::out_of_time ||
                              sent == offer_result::caller_gone;
    if (!may_have_run)
        return next_step::again;
    context_.ran_at.insert(target.record.id);
    return next_step::may_have_run;
}

bool request_run::may_send_again(next_step step)
{
    if (context_.is_caller_gone)
        return true; // run() ends it.
    const time_point now = parts_.core.now();
    const bool is_safe =
        step == next_step::again || context_.found->may_repeat();
    const bool has_targets =
        context_.ran_at.size() < context_.found->target_limit;
    const bool has_time = context_.time_left(now) >= least_time_to_offer;
    // What never left this host is no further send.
    const bool is_free = context_.offers == 0;
    const bool is_allowed =
        is_safe && has_targets && has_time &&
        (is_free || parts_.fleet.budget(context_.service)
                        .try_spend(now, parts_.fleet.live_hosts()));
    std::vector<event_field> described = fields();
    described.push_back({"is_safe", is_safe ? "yes" : "no"});
    described.push_back({"targets_left", has_targets ? "yes" : "no"});
    described.push_back(
        {"budget_left",
         std::to_string(parts_.fleet.budget(context_.service)
                            .left(now, parts_.fleet.live_hosts()))});
    parts_.core.journal().record(is_allowed ? event_number::request_resent
                                            : event_number::resend_denied,
                                 std::move(described));
    return is_allowed;
}

} // namespace hibiscusferry
