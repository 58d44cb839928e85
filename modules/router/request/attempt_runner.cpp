#include "router/request/attempt_runner.hpp"

#include <algorithm>

namespace hibiscusferry
{

namespace
{

constexpr std::chrono::milliseconds connect_limit{1000};
constexpr std::size_t answer_byte_limit = 16U << 20;

attempt_end end_by(const std::error_code& error)
{
    return error == http_error::timed_out ? attempt_end::timed_out
                                          : attempt_end::connection_lost;
}

bool says_not_run(const http_response_head& head)
{
    return head.status >= 400 && head.headers.value("X-Not-Run") == "true";
}

target_state refused_state(const http_response_head& head)
{
    const std::string_view state = head.headers.value("X-Target-State");
    if (state == "leaving")
        return target_state::leaving;
    if (state == "changing")
        return target_state::changing;
    return target_state::serving;
}

} // namespace

std::chrono::milliseconds time_until(time_point moment, time_point now)
{
    return std::max(
        std::chrono::duration_cast<std::chrono::milliseconds>(moment - now),
        std::chrono::milliseconds(1));
}

attempt_runner::attempt_runner(process_core& core, attempt_ledger& ledger)
    : core_(core)
    , ledger_(ledger)
{
}

attempt_opening attempt_runner::open(const std::string& attempt,
                                     const http_endpoint& endpoint,
                                     const http_request& message,
                                     bool is_idempotent, time_point until,
                                     boost::asio::yield_context yield)
{
    const std::chrono::milliseconds connect_time =
        std::min(connect_limit, time_until(until, core_.now()));
    // An idle connection may be dead without a sign; a call that may run
    // only once is not risked on one.
    result<std::unique_ptr<http_connection>> opened =
        is_idempotent ? core_.connections().take(endpoint, connect_time, yield)
                      : core_.connections().open(endpoint, connect_time, yield);
    attempt_opening opening;
    if (!opened)
        return opening;

    begun_answer begun;
    begun.connection = std::move(opened.value());
    ledger_.sending(attempt);
    const result<void> sent =
        begun.connection->send(message, time_until(until, core_.now()), yield);
    if (!sent)
    {
        opening.end = end_by(sent.error());
        return opening;
    }
    result<http_response_head> head =
        begun.connection->read_head(time_until(until, core_.now()), yield);
    if (!head)
    {
        opening.end = end_by(head.error());
        return opening;
    }
    begun.head = std::move(head.value());

    const echo_check echo =
        ledger_.check_echo(attempt, begun.head.headers.value("X-Attempt-Id"));
    if (echo == echo_check::stray)
    {
        core_.journal().record(
            event_number::answer_mismatch,
            {{"attempt", attempt}, {"target", endpoint.text()}});
        opening.end = attempt_end::wrong_attempt;
        return opening;
    }
    if (says_not_run(begun.head))
    {
        opening.end = attempt_end::refused;
        opening.refused_as = refused_state(begun.head);
        http_response ignored;
        if (read_whole(begun, ignored, until, yield) ==
            attempt_end::answered_error)
            release(begun);
        return opening;
    }
    opening.answer = std::move(begun);
    return opening;
}

attempt_end attempt_runner::read_whole(begun_answer& begun,
                                       http_response& answer, time_point until,
                                       boost::asio::yield_context yield)
{
    result<std::string> body = begun.connection->read_remaining(
        answer_byte_limit, time_until(until, core_.now()), yield);
    if (!body)
        return end_by(body.error());
    answer.status = begun.head.status;
    answer.headers = begun.head.headers;
    answer.body = std::move(body.value());
    return answer.status >= 500 ? attempt_end::answered_error
                                : attempt_end::answered;
}

void attempt_runner::release(begun_answer& begun)
{
    core_.connections().release(std::move(begun.connection));
}

} // namespace hibiscusferry
