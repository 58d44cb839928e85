#include "stand_ins/application/application_stand_in.hpp"

namespace hibiscusferry::stand_ins
{

namespace
{

constexpr std::string_view outcomes_path = "/outcomes/";
constexpr std::uint64_t stock_range = 500;

bool begins_with(std::string_view text, std::string_view beginning)
{
    return text.substr(0, beginning.size()) == beginning;
}

bool is_run(const http_request& request)
{
    const std::string_view path = request.path();
    return request.method == "POST" &&
           (begins_with(path, "/orders") || begins_with(path, "/lodgements"));
}

bool is_look_up(const http_request& request)
{
    const std::string_view path = request.path();
    return request.method == "GET" &&
           (begins_with(path, "/stock/") || begins_with(path, "/routes/") ||
            begins_with(path, "/status/"));
}

/** Throws nlohmann::json::exception on a wrong type. */
application_faults read_faults(const nlohmann::json& body)
{
    application_faults faults;
    faults.times = body.value("times", 0U);
    faults.slow = std::chrono::milliseconds(body.value("slow_ms", 0));
    faults.late_answers =
        std::chrono::milliseconds(body.value("late_answers_ms", 0));
    faults.cut_before_run = body.value("cut_before_run", false);
    faults.cut_after_run = body.value("cut_after_run", false);
    faults.silent_after_run = body.value("silent_after_run", false);
    faults.cross_answers = body.value("cross_answers", false);
    faults.leaving = body.value("leaving", false);
    faults.refuse = body.value("refuse", false);
    return faults;
}

} // namespace

application_stand_in::application_stand_in(boost::asio::io_context& context,
                                           std::chrono::milliseconds run_time)
    : context_(context)
    , run_time_(run_time)
{
}

void application_stand_in::serve(http_exchange& exchange,
                                 boost::asio::yield_context yield)
{
    const http_request& request = exchange.request();
    if (begins_with(request.path(), "/control/"))
        return serve_control(exchange, yield);

    const http_endpoint client = exchange.client();
    connections_.note(client);
    if (connections_.is_silent(client))
    {
        stay_silent(context_, exchange, yield);
        return connections_.forget(client);
    }
    if (request.path() == "/v1/load")
        return tell_load(exchange, yield);
    if (begins_with(request.path(), outcomes_path))
        return tell_outcome(exchange, yield);
    ++active_;
    serve_work(exchange, yield);
    --active_;
    // A silenced connection ends its exchange only by being closed.
    if (connections_.is_silent(client))
        connections_.forget(client);
}

void application_stand_in::leave()
{
    is_leaving_ = true;
}

// ========================================================================
// Control and reports
// ========================================================================

void application_stand_in::serve_control(http_exchange& exchange,
                                         boost::asio::yield_context yield)
{
    const http_request& request = exchange.request();
    if (request.path() == "/control/faults" && request.method == "POST")
        return set_faults(exchange, yield);
    if (request.path() == "/control/counts" && request.method == "GET")
        return tell_counts(exchange, yield);
    answer_json(exchange, 404, error_body("not_found"), yield);
}

void application_stand_in::set_faults(http_exchange& exchange,
                                      boost::asio::yield_context yield)
{
    const nlohmann::json body = read_object(exchange.request());
    if (body.is_discarded())
        return answer_json(exchange, 400, error_body("bad_faults"), yield);
    try
    {
        faults_ = read_faults(body);
        if (body.value("silent", false))
            connections_.silence_all();
    }
    catch (const nlohmann::json::exception& problem)
    {
        return answer_json(exchange, 400, error_body(problem.what()), yield);
    }
    answer_json(exchange, 200, nlohmann::json::object(), yield);
}

void application_stand_in::tell_counts(http_exchange& exchange,
                                       boost::asio::yield_context yield)
{
    nlohmann::json runs = nlohmann::json::object();
    for (const auto& [key, run] : runs_)
        runs[key] = run.runs;
    answer_json(exchange, 200,
                {{"runs", runs},
                 {"look_ups", look_ups_},
                 {"refusals", refusals_},
                 {"barred", barred_}},
                yield);
}

void application_stand_in::tell_load(http_exchange& exchange,
                                     boost::asio::yield_context yield)
{
    const bool leaves = is_leaving_ || faults_.leaving;
    answer_json(exchange, 200,
                {{"active_requests", active_},
                 {"report_age_ms", 0},
                 {"state", leaves ? "leaving" : "serving"}},
                yield);
}

void application_stand_in::tell_outcome(http_exchange& exchange,
                                        boost::asio::yield_context yield)
{
    const http_request& request = exchange.request();
    const std::string key =
        url_decode(request.path().substr(outcomes_path.size()));
    const auto found = runs_.find(key);
    nlohmann::json outcome;
    if (found == runs_.end())
    {
        barred_.insert(key);
        outcome = {{"state", "absent"}};
    }
    else if (found->second.state == run_state::running)
        outcome = {{"state", "running"}};
    else
        outcome = {
            {"state", "done"}, {"status", 200}, {"body", found->second.body}};

    http_response response = json_response(200, outcome.dump());
    response.headers.set("X-Attempt-Id",
                         std::string(request.headers.value("X-Attempt-Id")));
    answer(exchange, response, yield);
}

// ========================================================================
// Work
// ========================================================================

void application_stand_in::serve_work(http_exchange& exchange,
                                      boost::asio::yield_context yield)
{
    const application_faults faults = take_faults();
    const http_request& request = exchange.request();
    const std::string attempt = attempt_id(request, faults);

    http_response response;
    if (is_leaving_ || faults.leaving)
        response = not_run_response(503, "leaving");
    else if (faults.refuse)
        response = not_run_response(503, "overloaded");
    else if (faults.cut_before_run)
        return;
    else
    {
        if (faults.slow.count() > 0)
            sleep_for(context_, faults.slow, yield);
        response = run(request, yield);
        if (faults.cut_after_run)
            return;
        if (faults.silent_after_run)
            return stay_silent(context_, exchange, yield);
        if (faults.late_answers.count() > 0)
            sleep_for(context_, faults.late_answers, yield);
    }

    if (connections_.is_silent(exchange.client()))
        return stay_silent(context_, exchange, yield);
    if (response.headers.has("X-Not-Run"))
        ++refusals_;
    response.headers.set("X-Attempt-Id", attempt);
    answer(exchange, response, yield);
}

http_response application_stand_in::run(const http_request& request,
                                        boost::asio::yield_context yield)
{
    if (is_look_up(request))
        return look_up(request);
    if (!is_run(request))
        return json_response(404, error_body("no_such_path").dump());

    const std::string key(request.headers.value("Idempotency-Key"));
    if (barred_.count(key) > 0)
        return not_run_response(409, "barred");

    keyed_run& entry = runs_[key];
    ++entry.runs;
    entry.state = run_state::running;
    const std::uint64_t number = ++confirmations_;
    if (run_time_.count() > 0)
        sleep_for(context_, run_time_, yield);
    const nlohmann::json body = {{"confirmation", number},
                                 {"key", key},
                                 {"path", std::string(request.path())},
                                 {"request_sha256", sha256_hex(request.body)}};
    entry.body = body.dump();
    entry.state = run_state::done;
    return json_response(200, entry.body);
}

http_response application_stand_in::look_up(const http_request& request)
{
    ++look_ups_;
    const std::string path(request.path());
    const nlohmann::json body = {{"path", path},
                                 {"quantity", stable_hash(path) % stock_range}};
    return json_response(200, body.dump());
}

application_faults application_stand_in::take_faults()
{
    const application_faults taken = faults_;
    const bool is_last = faults_.times == 1;
    if (is_last)
        faults_ = {};
    else if (faults_.times > 1)
        --faults_.times;
    return taken;
}

std::string application_stand_in::attempt_id(const http_request& request,
                                             const application_faults& faults)
{
    const std::string own(request.headers.value("X-Attempt-Id"));
    const std::string other =
        last_attempt_id_.empty() ? "another-attempt" : last_attempt_id_;
    last_attempt_id_ = own;
    return faults.cross_answers ? other : own;
}

} // namespace hibiscusferry::stand_ins
