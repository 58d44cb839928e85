#include "stand_ins/application/application_stand_in.hpp"

namespace hibiscusferry::stand_ins
{

namespace
{

constexpr std::string_view outcomes_path = "/outcomes/";
constexpr std::uint64_t stock_range = 500;

bool starts_with(std::string_view text, std::string_view beginning)
{
    return text.substr(0, beginning.size()) == beginning;
}

bool is_run(const http_request& request)
{
    const std::string_view path = request.path();
    return request.method == "POST" &&
           (starts_with(path, "/orders") || starts_with(path, "/lodgements"));
}

bool is_lookup(const http_request& request)
{
    const std::string_view path = request.path();
    return request.method == "GET" &&
           (starts_with(path, "/stock/") || starts_with(path, "/routes/") ||
            starts_with(path, "/status/"));
}

/** @throws nlohmann::json::exception if a field has the wrong type */
application_faults parse_faults(const nlohmann::json& body)
{
    application_faults faults;
    faults.affected_requests = body.value("times", 0U);
    faults.run_delay = std::chrono::milliseconds(body.value("slow_ms", 0));
    faults.response_delay =
        std::chrono::milliseconds(body.value("late_answers_ms", 0));
    faults.disconnect_before_run = body.value("cut_before_run", false);
    faults.disconnect_after_run = body.value("cut_after_run", false);
    faults.hang_after_run = body.value("silent_after_run", false);
    faults.swap_attempt_ids = body.value("cross_answers", false);
    faults.draining = body.value("leaving", false);
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
    if (starts_with(request.path(), "/control/"))
        return serve_control(exchange, yield);

    const http_endpoint client = exchange.client();
    connections_.add(client);
    if (connections_.is_silent(client))
    {
        hang_until_disconnect(context_, exchange, yield);
        return connections_.remove(client);
    }
    if (request.path() == "/v1/load")
        return respond_with_load(exchange, yield);
    if (starts_with(request.path(), outcomes_path))
        return respond_with_outcome(exchange, yield);
    ++active_;
    serve_work(exchange, yield);
    --active_;
    // The exchange of an unresponsive connection ends only when the client
    // closes the connection.
    if (connections_.is_silent(client))
        connections_.remove(client);
}

void application_stand_in::start_draining()
{
    is_draining_ = true;
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
        return respond_with_counts(exchange, yield);
    send_json(exchange, 404, error_body("not_found"), yield);
}

void application_stand_in::set_faults(http_exchange& exchange,
                                      boost::asio::yield_context yield)
{
    const nlohmann::json body = parse_object(exchange.request());
    if (body.is_discarded())
        return send_json(exchange, 400, error_body("bad_faults"), yield);
    try
    {
        faults_ = parse_faults(body);
        if (body.value("silent", false))
            connections_.silence_all();
    }
    catch (const nlohmann::json::exception& problem)
    {
        return send_json(exchange, 400, error_body(problem.what()), yield);
    }
    send_json(exchange, 200, nlohmann::json::object(), yield);
}

void application_stand_in::respond_with_counts(http_exchange& exchange,
                                               boost::asio::yield_context yield)
{
    nlohmann::json runs = nlohmann::json::object();
    for (const auto& [key, run] : runs_)
        runs[key] = run.runs;
    send_json(exchange, 200,
              {{"runs", runs},
               {"look_ups", lookups_},
               {"refusals", refusals_},
               {"barred", blocked_keys_}},
              yield);
}

void application_stand_in::respond_with_load(http_exchange& exchange,
                                             boost::asio::yield_context yield)
{
    const bool is_draining = is_draining_ || faults_.draining;
    send_json(exchange, 200,
              {{"active_requests", active_},
               {"report_age_ms", 0},
               {"state", is_draining ? "leaving" : "serving"}},
              yield);
}

void application_stand_in::respond_with_outcome(
    http_exchange& exchange, boost::asio::yield_context yield)
{
    const http_request& request = exchange.request();
    const std::string key =
        url_decode(request.path().substr(outcomes_path.size()));
    const auto latest_run = runs_.find(key);
    nlohmann::json outcome;
    if (latest_run == runs_.end())
    {
        blocked_keys_.insert(key);
        outcome = {{"state", "absent"}};
    }
    else if (latest_run->second.state == run_state::running)
        outcome = {{"state", "running"}};
    else
        outcome = {{"state", "done"},
                   {"status", 200},
                   {"body", latest_run->second.body}};

    http_response response = json_response(200, outcome.dump());
    response.headers.set("X-Attempt-Id",
                         std::string(request.headers.value("X-Attempt-Id")));
    send_response(exchange, response, yield);
}

// ========================================================================
// Work
// ========================================================================

void application_stand_in::serve_work(http_exchange& exchange,
                                      boost::asio::yield_context yield)
{
    const application_faults faults = consume_faults();
    const http_request& request = exchange.request();
    const std::string response_attempt_id = attempt_id(request, faults);

    http_response response;
    if (is_draining_ || faults.draining)
        response = not_run_response(503, "leaving");
    else if (faults.refuse)
        response = not_run_response(503, "overloaded");
    else if (faults.disconnect_before_run)
        return;
    else
    {
        if (faults.run_delay.count() > 0)
            sleep_for(context_, faults.run_delay, yield);
        response = run(request, yield);
        if (faults.disconnect_after_run)
            return;
        if (faults.hang_after_run)
            return hang_until_disconnect(context_, exchange, yield);
        if (faults.response_delay.count() > 0)
            sleep_for(context_, faults.response_delay, yield);
    }

    if (connections_.is_silent(exchange.client()))
        return hang_until_disconnect(context_, exchange, yield);
    if (response.headers.has("X-Not-Run"))
        ++refusals_;
    response.headers.set("X-Attempt-Id", response_attempt_id);
    send_response(exchange, response, yield);
}

http_response application_stand_in::run(const http_request& request,
                                        boost::asio::yield_context yield)
{
    if (is_lookup(request))
        return handle_lookup(request);
    if (!is_run(request))
        return json_response(404, error_body("no_such_path").dump());

    const std::string key(request.headers.value("Idempotency-Key"));
    if (blocked_keys_.count(key) > 0)
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

http_response application_stand_in::handle_lookup(const http_request& request)
{
    ++lookups_;
    const std::string path(request.path());
    const nlohmann::json body = {{"path", path},
                                 {"quantity", stable_hash(path) % stock_range}};
    return json_response(200, body.dump());
}

application_faults application_stand_in::consume_faults()
{
    const application_faults active_faults = faults_;
    const bool is_last = faults_.affected_requests == 1;
    if (is_last)
        faults_ = {};
    else if (faults_.affected_requests > 1)
        --faults_.affected_requests;
    return active_faults;
}

std::string application_stand_in::attempt_id(const http_request& request,
                                             const application_faults& faults)
{
    const std::string request_attempt_id(request.headers.value("X-Attempt-Id"));
    const std::string previous_attempt_id =
        last_attempt_id_.empty() ? "another-attempt" : last_attempt_id_;
    last_attempt_id_ = request_attempt_id;
    return faults.swap_attempt_ids ? previous_attempt_id : request_attempt_id;
}

} // namespace hibiscusferry::stand_ins
