#include "router/request/attempt_runner.hpp"

#include <algorithm>

namespace hibiscusferry
{

namespace
{

constexpr std::chrono::milliseconds connect_timeout{1000};
constexpr std::size_t max_response_bytes = 16U << 20;

attempt_completion completion_of(const std::error_code& error)
{
    return error == http_error::timed_out ? attempt_completion::timed_out
                                          : attempt_completion::connection_lost;
}

bool is_marked_not_run(const http_response_head& head)
{
    return head.status >= 400 && head.headers.value("X-Not-Run") == "true";
}

target_state state_of_refusal(const http_response_head& head)
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

attempt_open_result
attempt_runner::open(const std::string& attempt, const http_endpoint& endpoint,
                     const http_request& message, bool is_idempotent,
                     time_point deadline, boost::asio::yield_context yield)
{
    const std::chrono::milliseconds timeout =
        std::min(connect_timeout, time_until(deadline, core_.now()));
    // An idle connection may be dead without notice, so a request that may run
    // only once is sent over a new connection.
    result<std::unique_ptr<http_connection>> connection =
        is_idempotent ? core_.connections().take(endpoint, timeout, yield)
                      : core_.connections().open(endpoint, timeout, yield);
    attempt_open_result open_result;
    if (!connection)
        return open_result;

    pending_response pending;
    pending.connection = std::move(connection.value());
    ledger_.send_started(attempt);
    const result<void> sent = pending.connection->send(
        message, time_until(deadline, core_.now()), yield);
    if (!sent)
    {
        open_result.completion = completion_of(sent.error());
        return open_result;
    }
    result<http_response_head> head =
        pending.connection->read_head(time_until(deadline, core_.now()), yield);
    if (!head)
    {
        open_result.completion = completion_of(head.error());
        return open_result;
    }
    pending.head = std::move(head.value());

    const echo_check echo =
        ledger_.check_echo(attempt, pending.head.headers.value("X-Attempt-Id"));
    if (echo == echo_check::unmatched)
    {
        core_.journal().record(
            event_number::answer_mismatch,
            {{"attempt", attempt}, {"target", endpoint.text()}});
        open_result.completion = attempt_completion::attempt_id_mismatch;
        return open_result;
    }
    if (is_marked_not_run(pending.head))
    {
        open_result.completion = attempt_completion::refused;
        open_result.reported_state = state_of_refusal(pending.head);
        http_response ignored;
        if (read_body(pending, ignored, deadline, yield) ==
            attempt_completion::server_error)
            release(pending);
        return open_result;
    }
    open_result.response = std::move(pending);
    return open_result;
}

attempt_completion attempt_runner::read_body(pending_response& pending,
                                             http_response& response,
                                             time_point deadline,
                                             boost::asio::yield_context yield)
{
    result<std::string> body = pending.connection->read_remaining(
        max_response_bytes, time_until(deadline, core_.now()), yield);
    if (!body)
        return completion_of(body.error());
    response.status = pending.head.status;
    response.headers = pending.head.headers;
    response.body = std::move(body.value());
    return response.status >= 500 ? attempt_completion::server_error
                                  : attempt_completion::answered;
}

void attempt_runner::release(pending_response& pending)
{
    core_.connections().release(std::move(pending.connection));
}

} // namespace hibiscusferry
