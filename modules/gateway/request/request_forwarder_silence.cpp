#include "gateway/request/request_forwarder.hpp"

#include "gateway/request/request_limits.hpp"

#include <utility>

// The part of request_forwarder that deals with silent targets.

namespace hibiscusferry
{

bool request_forwarder::may_run_at_another_target() const
{
    return context_.can_continue_elsewhere() &&
           context_.possible_run_targets.size() <
               context_.matched_route->max_targets &&
           context_.time_left(services_.core.now()) >= min_time_to_attempt;
}

bool request_forwarder::has_alternative_to(const target_view& silent_target)
{
    if (suspended_ || !context_.matched_route->is_safe_to_retry())
        return false;
    const bool is_new =
        context_.possible_run_targets.insert(silent_target.record.id).second;
    const bool may_run = may_run_at_another_target();
    if (is_new)
        context_.possible_run_targets.erase(silent_target.record.id);
    return may_run && can_retry_without(silent_target);
}

bool request_forwarder::can_retry_without(const target_view& silent_target)
{
    const bool has_budget =
        services_.fleet.budget(context_.service)
            .remaining(services_.core.now(), services_.fleet.live_hosts()) >= 1;
    if (!has_budget)
        return false;
    context_.excluded.push_back(silent_target.record.id);
    scheduling_failure ignored = scheduling_failure::no_target;
    const engine_assignment alternative = schedule(ignored);
    context_.excluded.pop_back();
    return alternative.decode_engine &&
           alternative.decode_engine->health.is_usable(services_.core.now());
}

request_forwarder::next_step
request_forwarder::suspend(std::unique_ptr<target_attempt> current)
{
    context_.excluded.push_back(current->target->record.id);
    context_.possible_run_targets.insert(current->target->record.id);
    suspended_ = std::move(current);
    return next_step::suspended;
}

request_forwarder::next_step
request_forwarder::resume_suspended(boost::asio::yield_context yield)
{
    std::unique_ptr<target_attempt> current = std::move(suspended_);
    context_.last_target = current->target->record.id;
    context_.last_software_version = current->software_version;
    if (current->response_start)
        return relay_stream(std::move(current), yield);
    const attempt_result outcome = current->upstream.wait(
        first_byte_timeout(context_.matched_route->is_safe_to_retry()), yield);
    return complete_attempt(std::move(current), outcome, yield);
}

void request_forwarder::log_silence(target_attempt& current)
{
    if (std::exchange(current.is_silence_logged, true))
        return;
    const time_point now = services_.core.now();
    services_.core.journal().record(
        event_number::target_silent,
        {{"request", context_.request.id},
         {"target", current.target->record.id},
         {"last_event", context_.progress.last_event_id()},
         {"elapsed_ms", std::to_string(context_.elapsed(now).count())},
         {"time_left_ms", std::to_string(context_.time_left(now).count())}});
}

} // namespace hibiscusferry
