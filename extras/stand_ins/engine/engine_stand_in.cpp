#include "stand_ins/engine/engine_stand_in.hpp"

#include "stand_ins/engine/model_api.hpp"
#include <charconv>
#include <cstdlib>

namespace hibiscusferry::stand_ins
{

namespace
{

constexpr std::chrono::milliseconds client_check_interval{200};
constexpr std::chrono::seconds max_idle_wait{3600};
/** The time for which a generation continues without a reader, so that its
    stream can be resumed. */
constexpr std::chrono::seconds abandoned_retention{10};
/** The time for which the stream of a finished generation can be resumed. */
constexpr std::chrono::seconds finished_retention{30};
constexpr std::size_t max_counted_attempts = 100000;
constexpr std::string_view generations_path = "/v1/generations/";

std::uint64_t parse_number(const std::string& text)
{
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

/** @throws nlohmann::json::exception if a field has the wrong type */
engine_faults parse_faults(const nlohmann::json& body)
{
    engine_faults faults;
    faults.crash_on_change = body.value("crash_on_change", false);
    faults.slow_factor = body.value("slow", 1.0);
    faults.swap_attempt_ids = body.value("cross_answers", false);
    faults.response_delay =
        std::chrono::milliseconds(body.value("late_answers_ms", 0));
    faults.disconnect_stream_after = body.value("cut_stream_after", 0U);
    faults.lose_generation = body.value("lose_generation", false);
    faults.draining = body.value("leaving", false);
    faults.refuse = body.value("refuse", false);
    return faults;
}

bool matches(std::string_view path, std::string_view pattern)
{
    if (pattern.back() != '/')
        return path == pattern;
    return path.substr(0, pattern.size()) == pattern;
}

} // namespace

const engine_stand_in::route engine_stand_in::routes[] = {
    {"POST", "/v1/chat/completions", &engine_stand_in::complete},
    {"POST", "/v1/completions", &engine_stand_in::complete},
    {"GET", "/v1/generations/", &engine_stand_in::resume},
    {"DELETE", "/v1/generations/", &engine_stand_in::cancel},
    {"GET", "/v1/models", &engine_stand_in::list_models},
    {"GET", "/v1/load", &engine_stand_in::respond_with_load},
    {"POST", "/v1/orders", &engine_stand_in::receive_order},
    {"GET", "/v1/orders/", &engine_stand_in::respond_with_order},
    {"POST", "/v1/fence", &engine_stand_in::raise_fence},
    {"POST", "/v1/kv/export", &engine_stand_in::export_cache},
    {"POST", "/v1/kv/import", &engine_stand_in::import_cache},
    {"GET", "/v1/cache_events", &engine_stand_in::respond_with_cache_events},
    {"POST", "/control/faults", &engine_stand_in::set_faults},
    {"GET", "/control/counts", &engine_stand_in::respond_with_counts}};

engine_stand_in::engine_stand_in(boost::asio::io_context& context,
                                 const engine_settings& settings)
    : context_(context)
    , settings_(settings)
    , scheduler_(settings.costs)
    , work_(context)
    , progress_(context)
    , orders_(settings.checks_fencing)
    , cache_events_(settings.cache_event_lag, settings.cache_event_loss_percent)
    , role_(settings.role)
    , model_(settings.model)
{
    scheduler_.set_role(role_);
}

void engine_stand_in::start()
{
    start_task(context_, [this](boost::asio::yield_context yield)
               { run_batches(yield); });
    start_task(context_, [this](boost::asio::yield_context yield)
               { report_load(yield); });
}

void engine_stand_in::serve(http_exchange& exchange,
                            boost::asio::yield_context yield)
{
    const http_request& request = exchange.request();
    const http_endpoint client = exchange.client();
    const bool is_control = matches(request.path(), "/control/");
    if (!is_control)
        connections_.add(client);
    if (connections_.is_silent(client))
    {
        hang_until_disconnect(context_, exchange, yield);
        return connections_.remove(client);
    }

    for (const route& candidate : routes)
    {
        const bool is_match = request.method == candidate.method &&
                              matches(request.path(), candidate.path);
        if (!is_match)
            continue;
        (this->*candidate.serve)(exchange, yield);
        // The exchange of an unresponsive connection ends only when the client
        // closes the connection.
        if (connections_.is_silent(client))
            connections_.remove(client);
        return;
    }
    send_json(exchange, 404, error_body("no_such_call"), yield);
}

void engine_stand_in::start_draining()
{
    is_draining_ = true;
}

// ========================================================================
// Control
// ========================================================================

void engine_stand_in::set_faults(http_exchange& exchange,
                                 boost::asio::yield_context yield)
{
    const nlohmann::json body = parse_object(exchange.request());
    if (body.is_discarded())
        return send_json(exchange, 400, error_body("bad_faults"), yield);
    try
    {
        if (body.value("crash", false))
            std::_Exit(EXIT_FAILURE);
        faults_ = parse_faults(body);
        if (body.value("silent", false))
        {
            connections_.silence_all();
            progress_.notify_all();
        }
    }
    catch (const nlohmann::json::exception& problem)
    {
        return send_json(exchange, 400, error_body(problem.what()), yield);
    }
    send_json(exchange, 200, nlohmann::json::object(), yield);
}

void engine_stand_in::respond_with_counts(http_exchange& exchange,
                                          boost::asio::yield_context yield)
{
    nlohmann::json arrivals = nlohmann::json::array();
    for (const order_arrival& arrival : orders_.arrivals())
        arrivals.push_back({{"order_id", arrival.order.order_id},
                            {"fencing_number", arrival.order.fencing_number},
                            {"action", arrival.order.action},
                            {"argument", arrival.order.argument},
                            {"verdict", to_text(arrival.verdict)}});
    send_json(exchange, 200,
              {{"service", settings_.service},
               {"role", role_},
               {"model", model_},
               {"runs", runs_},
               {"refusals", refusals_},
               {"cancelled", cancelled_},
               {"changes", changes_},
               {"streams_cut_by_change", streams_aborted_by_change_},
               {"orders", arrivals},
               {"conflicting_orders", orders_.conflicting_orders()},
               {"old_orders_obeyed", orders_.accepted_stale_orders()},
               {"generations", generations_by_attempt_}},
              yield);
}

// ========================================================================
// Completions
// ========================================================================

void engine_stand_in::complete(http_exchange& exchange,
                               boost::asio::yield_context yield)
{
    const http_request& request = exchange.request();
    const std::string response_attempt_id = attempt_id(request);
    const std::optional<model_call> call = parse_model_call(request);
    http_response refusal;
    if (!call)
        refusal = not_run_response(400, "bad_request");
    else if (!refusal_code().empty())
        refusal = not_run_response(503, refusal_code());
    else if (call->model != model_ && adapters_.count(call->model) == 0)
        refusal = not_run_response(404, "model_not_found");
    if (refusal.headers.has("X-Not-Run"))
    {
        ++refusals_;
        refusal.headers.set("X-Attempt-Id", response_attempt_id);
        return send_response(exchange, refusal, yield);
    }

    const generation_pointer item =
        make_generation(*call, identifiers_.next(),
                        std::string(request.headers.value("X-Attempt-Id")));
    count_generation(*item);
    generations_[item->id] = {item, 0, boot_clock::now()};
    scheduler_.submit(item);
    work_.notify_all();
    if (faults_.response_delay.count() > 0)
        sleep_for(context_, faults_.response_delay, yield);
    if (call->is_stream)
        return stream(exchange, item->id, 0, false, yield);
    send_completion(exchange, item, yield);
}

void engine_stand_in::resume(http_exchange& exchange,
                             boost::asio::yield_context yield)
{
    const http_request& request = exchange.request();
    const std::string id(request.path().substr(generations_path.size()));
    const std::uint64_t offset = parse_number(request.query("offset"));
    const auto generation_entry = generations_.find(id);
    const bool is_resumable =
        generation_entry != generations_.end() &&
        generation_entry->second.item->state != generation_state::cancelled &&
        generation_entry->second.item->state != generation_state::aborted &&
        offset <= generation_entry->second.item->produced;
    if (!is_resumable)
        return send_json(exchange, 404, error_body("no_generation"), yield);
    stream(exchange, id, offset, true, yield);
}

void engine_stand_in::cancel(http_exchange& exchange,
                             boost::asio::yield_context yield)
{
    const std::string id(
        exchange.request().path().substr(generations_path.size()));
    const auto generation_entry = generations_.find(id);
    if (generation_entry == generations_.end())
        return send_json(exchange, 404, error_body("no_generation"), yield);
    if (generation_entry->second.item->is_active())
        ++cancelled_;
    scheduler_.end(*generation_entry->second.item, generation_state::cancelled);
    progress_.notify_all();
    send_response(exchange, {204, {}, ""}, yield);
}

void engine_stand_in::stream(http_exchange& exchange, const std::string& id,
                             std::size_t offset, bool is_resumed,
                             boost::asio::yield_context yield)
{
    const generation_pointer item = generations_[id].item;
    ++generations_[id].reader_count;
    const std::string response_attempt_id = attempt_id(exchange.request());
    const result<void> begin_result =
        exchange.begin_stream({200,
                               {{"Content-Type", "text/event-stream"},
                                {"X-Attempt-Id", response_attempt_id},
                                {"X-Generation-Id", id}}},
                              yield);
    bool is_open = begin_result.has_value();
    while (is_open)
    {
        is_open = write_tokens(exchange, *item, offset, is_resumed, yield);
        if (is_open)
            progress_.wait(client_check_interval, yield);
    }

    const auto entry = generations_.find(id);
    if (entry == generations_.end())
        return;
    --entry->second.reader_count;
    entry->second.last_read = boot_clock::now();
    const bool was_disconnected = !is_resumed &&
                                  faults_.disconnect_stream_after > 0 &&
                                  offset >= faults_.disconnect_stream_after;
    if (was_disconnected && faults_.lose_generation)
    {
        scheduler_.end(*item, generation_state::cancelled);
        generations_.erase(entry);
    }
}

bool engine_stand_in::write_tokens(http_exchange& exchange,
                                   const generation& item, std::size_t& offset,
                                   bool is_resumed,
                                   boost::asio::yield_context yield)
{
    if (connections_.is_silent(exchange.client()))
    {
        hang_until_disconnect(context_, exchange, yield);
        return false;
    }
    const std::size_t disconnect_offset =
        is_resumed ? 0 : faults_.disconnect_stream_after;
    std::string events;
    while (offset < item.produced &&
           (disconnect_offset == 0 || offset < disconnect_offset))
        events += token_event(item, offset++);
    const bool is_disconnected =
        disconnect_offset != 0 && offset >= disconnect_offset;
    const bool is_complete = item.state == generation_state::finished &&
                             offset == item.tokens.size() && !is_disconnected;
    if (is_complete)
        events += end_events(item);

    const bool is_written = exchange.write_chunk(events, yield).has_value();
    if (is_complete && is_written)
    {
        const result<void> ignored = exchange.end_stream(yield);
        static_cast<void>(ignored);
    }
    const bool can_continue =
        item.is_active() || item.state == generation_state::finished;
    return is_written && !is_complete && !is_disconnected && can_continue &&
           !exchange.is_client_disconnected();
}

void engine_stand_in::send_completion(http_exchange& exchange,
                                      const generation_pointer& item,
                                      boost::asio::yield_context yield)
{
    const std::string response_attempt_id = attempt_id(exchange.request());
    ++generations_[item->id].reader_count;
    while (item->is_active() && !exchange.is_client_disconnected())
        progress_.wait(client_check_interval, yield);
    generations_.erase(item->id);

    if (connections_.is_silent(exchange.client()))
        return hang_until_disconnect(context_, exchange, yield);
    if (item->state != generation_state::finished)
    {
        // The client disconnected, or a change of the engine aborted the
        // generation.
        scheduler_.end(*item, generation_state::cancelled);
        return;
    }
    http_response response = json_response(200, completion_body(*item));
    response.headers.set("X-Attempt-Id", response_attempt_id);
    response.headers.set("X-Generation-Id", item->id);
    send_response(exchange, response, yield);
}

std::string engine_stand_in::refusal_code() const
{
    if (is_draining_ || faults_.draining)
        return "leaving";
    if (is_changing_)
        return "changing";
    if (faults_.refuse || scheduler_.waiting() >= settings_.max_waiting)
        return "overloaded";
    return {};
}

void engine_stand_in::count_generation(const generation& item)
{
    ++runs_;
    const bool has_room = generations_by_attempt_.size() < max_counted_attempts;
    if (has_room)
        ++generations_by_attempt_[item.attempt_id];
}

std::string engine_stand_in::attempt_id(const http_request& request)
{
    const std::string request_attempt_id(request.headers.value("X-Attempt-Id"));
    if (last_attempt_id_ == request_attempt_id)
        return faults_.swap_attempt_ids ? "another-attempt"
                                        : request_attempt_id;
    const std::string previous_attempt_id =
        last_attempt_id_.empty() ? "another-attempt" : last_attempt_id_;
    last_attempt_id_ = request_attempt_id;
    return faults_.swap_attempt_ids ? previous_attempt_id : request_attempt_id;
}

// ========================================================================
// Status reports
// ========================================================================

void engine_stand_in::list_models(http_exchange& exchange,
                                  boost::asio::yield_context yield)
{
    nlohmann::json models = nlohmann::json::array();
    models.push_back({{"id", model_}, {"object", "model"}});
    for (const std::string& adapter : adapters_)
        models.push_back({{"id", adapter}, {"object", "model"}});
    send_json(exchange, 200, {{"object", "list"}, {"data", models}}, yield);
}

void engine_stand_in::respond_with_load(http_exchange& exchange,
                                        boost::asio::yield_context yield)
{
    nlohmann::json report = load_report_;
    report["report_age_ms"] =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            boot_clock::now() - load_reported_at_)
            .count();
    send_json(exchange, 200, report, yield);
}

void engine_stand_in::respond_with_cache_events(
    http_exchange& exchange, boost::asio::yield_context yield)
{
    std::uint64_t next = parse_number(exchange.request().query("after"));
    nlohmann::json events = nlohmann::json::array();
    for (const cache_event& item : cache_events_.read(next, boot_clock::now()))
    {
        events.push_back(
            {{"sequence", item.sequence},
             {"prefix_hash", item.change.prefix_hash},
             {"kind", item.change.is_stored ? "stored" : "evicted"}});
        next = item.sequence;
    }
    send_json(exchange, 200, {{"events", events}, {"next", next}}, yield);
}

// ========================================================================
// Background tasks
// ========================================================================

void engine_stand_in::run_batches(boost::asio::yield_context yield)
{
    for (;;)
    {
        if (!scheduler_.has_work())
        {
            work_.wait(max_idle_wait, yield);
            continue;
        }
        const std::chrono::duration<double, std::nano> step =
            scheduler_.begin_step() * faults_.slow_factor;
        sleep_for(context_,
                  std::chrono::duration_cast<std::chrono::nanoseconds>(step),
                  yield);
        scheduler_.finish_step();
        progress_.notify_all();
    }
}

void engine_stand_in::report_load(boost::asio::yield_context yield)
{
    for (;;)
    {
        const char* state = "serving";
        if (is_changing_)
            state = "changing";
        if (is_draining_ || faults_.draining)
            state = "leaving";
        load_reported_at_ = boot_clock::now();
        load_report_ = {
            {"role", role_},
            {"model", model_},
            {"revision", changes_},
            {"waiting_prefill_tokens", scheduler_.waiting_prefill_tokens()},
            {"active_streams", scheduler_.active().size()},
            {"free_kv_tokens", scheduler_.free_kv_tokens()},
            {"state", state}};
        cache_events_.append(scheduler_.cache().take_changes(),
                             load_reported_at_);
        remove_expired_generations();
        sleep_for(context_, settings_.load_report_lag, yield);
    }
}

void engine_stand_in::remove_expired_generations()
{
    const time_point now = boot_clock::now();
    for (auto position = generations_.begin(); position != generations_.end();)
    {
        retained_generation& entry = position->second;
        const std::chrono::seconds retention =
            entry.item->is_active() ? abandoned_retention : finished_retention;
        const bool is_expired =
            entry.reader_count == 0 && now - entry.last_read > retention;
        if (is_expired)
            scheduler_.end(*entry.item, generation_state::cancelled);
        position =
            is_expired ? generations_.erase(position) : std::next(position);
    }
}

} // namespace hibiscusferry::stand_ins
