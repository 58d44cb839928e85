#include "stand_ins/engine/engine_stand_in.hpp"

#include "stand_ins/engine/model_api.hpp"
#include <charconv>
#include <cstdlib>

namespace hibiscusferry::stand_ins
{

namespace
{

constexpr std::chrono::milliseconds client_check_interval{200};
constexpr std::chrono::seconds idle_wait{3600};
/** A stream without a reader goes on for this long, to be resumed. */
constexpr std::chrono::seconds abandoned_limit{10};
/** A finished answer can be resumed for this long. */
constexpr std::chrono::seconds finished_limit{30};
constexpr std::size_t most_counted_attempts = 100000;
constexpr std::string_view generations_path = "/v1/generations/";

std::uint64_t to_number(const std::string& text)
{
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

/** Throws nlohmann::json::exception on a wrong type. */
engine_faults read_faults(const nlohmann::json& body)
{
    engine_faults faults;
    faults.crash_on_change = body.value("crash_on_change", false);
    faults.slow_factor = body.value("slow", 1.0);
    faults.cross_answers = body.value("cross_answers", false);
    faults.late_answers =
        std::chrono::milliseconds(body.value("late_answers_ms", 0));
    faults.cut_stream_after = body.value("cut_stream_after", 0U);
    faults.lose_generation = body.value("lose_generation", false);
    faults.leaving = body.value("leaving", false);
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
    {"GET", "/v1/load", &engine_stand_in::tell_load},
    {"POST", "/v1/orders", &engine_stand_in::receive_order},
    {"GET", "/v1/orders/", &engine_stand_in::tell_order},
    {"POST", "/v1/fence", &engine_stand_in::raise_fence},
    {"POST", "/v1/kv/export", &engine_stand_in::export_cache},
    {"POST", "/v1/kv/import", &engine_stand_in::import_cache},
    {"GET", "/v1/cache_events", &engine_stand_in::tell_cache_events},
    {"POST", "/control/faults", &engine_stand_in::set_faults},
    {"GET", "/control/counts", &engine_stand_in::tell_counts}};

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
        connections_.note(client);
    if (connections_.is_silent(client))
    {
        stay_silent(context_, exchange, yield);
        return connections_.forget(client);
    }

    for (const route& candidate : routes)
    {
        const bool is_meant = request.method == candidate.method &&
                              matches(request.path(), candidate.path);
        if (!is_meant)
            continue;
        (this->*candidate.serve)(exchange, yield);
        // A silenced connection ends its exchange only by being closed.
        if (connections_.is_silent(client))
            connections_.forget(client);
        return;
    }
    answer_json(exchange, 404, error_body("no_such_call"), yield);
}

void engine_stand_in::leave()
{
    is_leaving_ = true;
}

// ========================================================================
// Control
// ========================================================================

void engine_stand_in::set_faults(http_exchange& exchange,
                                 boost::asio::yield_context yield)
{
    const nlohmann::json body = read_object(exchange.request());
    if (body.is_discarded())
        return answer_json(exchange, 400, error_body("bad_faults"), yield);
    try
    {
        if (body.value("crash", false))
            std::_Exit(EXIT_FAILURE);
        faults_ = read_faults(body);
        if (body.value("silent", false))
        {
            connections_.silence_all();
            progress_.notify_all();
        }
    }
    catch (const nlohmann::json::exception& problem)
    {
        return answer_json(exchange, 400, error_body(problem.what()), yield);
    }
    answer_json(exchange, 200, nlohmann::json::object(), yield);
}

void engine_stand_in::tell_counts(http_exchange& exchange,
                                  boost::asio::yield_context yield)
{
    nlohmann::json arrivals = nlohmann::json::array();
    for (const order_arrival& arrival : orders_.arrivals())
        arrivals.push_back({{"order_id", arrival.order.order_id},
                            {"fencing_number", arrival.order.fencing_number},
                            {"action", arrival.order.action},
                            {"argument", arrival.order.argument},
                            {"verdict", to_text(arrival.verdict)}});
    answer_json(exchange, 200,
                {{"service", settings_.service},
                 {"role", role_},
                 {"model", model_},
                 {"runs", runs_},
                 {"refusals", refusals_},
                 {"cancelled", cancelled_},
                 {"changes", changes_},
                 {"streams_cut_by_change", streams_cut_by_change_},
                 {"orders", arrivals},
                 {"conflicting_orders", orders_.conflicting_orders()},
                 {"old_orders_obeyed", orders_.old_orders_obeyed()},
                 {"generations", generations_by_attempt_}},
                yield);
}

// ========================================================================
// Answers
// ========================================================================

void engine_stand_in::complete(http_exchange& exchange,
                               boost::asio::yield_context yield)
{
    const http_request& request = exchange.request();
    const std::string attempt = attempt_id(request);
    const std::optional<model_call> call = read_model_call(request);
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
        refusal.headers.set("X-Attempt-Id", attempt);
        return answer(exchange, refusal, yield);
    }

    const generation_pointer item =
        make_generation(*call, identifiers_.next(),
                        std::string(request.headers.value("X-Attempt-Id")));
    count_generation(*item);
    generations_[item->id] = {item, 0, boot_clock::now()};
    scheduler_.submit(item);
    work_.notify_all();
    if (faults_.late_answers.count() > 0)
        sleep_for(context_, faults_.late_answers, yield);
    if (call->is_stream)
        return stream(exchange, item->id, 0, false, yield);
    answer_whole(exchange, item, yield);
}

void engine_stand_in::resume(http_exchange& exchange,
                             boost::asio::yield_context yield)
{
    const http_request& request = exchange.request();
    const std::string id(request.path().substr(generations_path.size()));
    const std::uint64_t offset = to_number(request.query("offset"));
    const auto found = generations_.find(id);
    const bool is_there =
        found != generations_.end() &&
        found->second.item->state != generation_state::cancelled &&
        found->second.item->state != generation_state::cut &&
        offset <= found->second.item->produced;
    if (!is_there)
        return answer_json(exchange, 404, error_body("no_generation"), yield);
    stream(exchange, id, offset, true, yield);
}

void engine_stand_in::cancel(http_exchange& exchange,
                             boost::asio::yield_context yield)
{
    const std::string id(
        exchange.request().path().substr(generations_path.size()));
    const auto found = generations_.find(id);
    if (found == generations_.end())
        return answer_json(exchange, 404, error_body("no_generation"), yield);
    if (found->second.item->is_active())
        ++cancelled_;
    scheduler_.end(*found->second.item, generation_state::cancelled);
    progress_.notify_all();
    answer(exchange, {204, {}, ""}, yield);
}

void engine_stand_in::stream(http_exchange& exchange, const std::string& id,
                             std::size_t offset, bool is_resumed,
                             boost::asio::yield_context yield)
{
    const generation_pointer item = generations_[id].item;
    ++generations_[id].readers;
    const std::string attempt = attempt_id(exchange.request());
    const result<void> begun =
        exchange.begin_stream({200,
                               {{"Content-Type", "text/event-stream"},
                                {"X-Attempt-Id", attempt},
                                {"X-Generation-Id", id}}},
                              yield);
    bool goes_on = begun.has_value();
    while (goes_on)
    {
        goes_on = write_tokens(exchange, *item, offset, is_resumed, yield);
        if (goes_on)
            progress_.wait(client_check_interval, yield);
    }

    const auto kept = generations_.find(id);
    if (kept == generations_.end())
        return;
    --kept->second.readers;
    kept->second.last_read = boot_clock::now();
    const bool was_cut = !is_resumed && faults_.cut_stream_after > 0 &&
                         offset >= faults_.cut_stream_after;
    if (was_cut && faults_.lose_generation)
    {
        scheduler_.end(*item, generation_state::cancelled);
        generations_.erase(kept);
    }
}

bool engine_stand_in::write_tokens(http_exchange& exchange,
                                   const generation& item, std::size_t& offset,
                                   bool is_resumed,
                                   boost::asio::yield_context yield)
{
    if (connections_.is_silent(exchange.client()))
    {
        stay_silent(context_, exchange, yield);
        return false;
    }
    const std::size_t cut_at = is_resumed ? 0 : faults_.cut_stream_after;
    std::string events;
    while (offset < item.produced && (cut_at == 0 || offset < cut_at))
        events += token_event(item, offset++);
    const bool is_cut = cut_at != 0 && offset >= cut_at;
    const bool is_whole = item.state == generation_state::finished &&
                          offset == item.tokens.size() && !is_cut;
    if (is_whole)
        events += end_events(item);

    const bool is_written = exchange.write_chunk(events, yield).has_value();
    if (is_whole && is_written)
    {
        const result<void> ignored = exchange.end_stream(yield);
        static_cast<void>(ignored);
    }
    const bool may_go_on =
        item.is_active() || item.state == generation_state::finished;
    return is_written && !is_whole && !is_cut && may_go_on &&
           !exchange.is_client_disconnected();
}

void engine_stand_in::answer_whole(http_exchange& exchange,
                                   const generation_pointer& item,
                                   boost::asio::yield_context yield)
{
    const std::string attempt = attempt_id(exchange.request());
    ++generations_[item->id].readers;
    while (item->is_active() && !exchange.is_client_disconnected())
        progress_.wait(client_check_interval, yield);
    generations_.erase(item->id);

    if (connections_.is_silent(exchange.client()))
        return stay_silent(context_, exchange, yield);
    if (item->state != generation_state::finished)
    {
        // The client closed the connection, or a change cut the answer.
        scheduler_.end(*item, generation_state::cancelled);
        return;
    }
    http_response response = json_response(200, whole_answer(*item));
    response.headers.set("X-Attempt-Id", attempt);
    response.headers.set("X-Generation-Id", item->id);
    answer(exchange, response, yield);
}

std::string engine_stand_in::refusal_code() const
{
    if (is_leaving_ || faults_.leaving)
        return "leaving";
    if (is_changing_)
        return "changing";
    if (faults_.refuse || scheduler_.waiting() >= settings_.most_waiting)
        return "overloaded";
    return {};
}

void engine_stand_in::count_generation(const generation& item)
{
    ++runs_;
    const bool has_room =
        generations_by_attempt_.size() < most_counted_attempts;
    if (has_room)
        ++generations_by_attempt_[item.attempt_id];
}

std::string engine_stand_in::attempt_id(const http_request& request)
{
    const std::string own(request.headers.value("X-Attempt-Id"));
    if (last_attempt_id_ == own)
        return faults_.cross_answers ? "another-attempt" : own;
    const std::string other =
        last_attempt_id_.empty() ? "another-attempt" : last_attempt_id_;
    last_attempt_id_ = own;
    return faults_.cross_answers ? other : own;
}

// ========================================================================
// Reports
// ========================================================================

void engine_stand_in::list_models(http_exchange& exchange,
                                  boost::asio::yield_context yield)
{
    nlohmann::json models = nlohmann::json::array();
    models.push_back({{"id", model_}, {"object", "model"}});
    for (const std::string& adapter : adapters_)
        models.push_back({{"id", adapter}, {"object", "model"}});
    answer_json(exchange, 200, {{"object", "list"}, {"data", models}}, yield);
}

void engine_stand_in::tell_load(http_exchange& exchange,
                                boost::asio::yield_context yield)
{
    nlohmann::json report = load_report_;
    report["report_age_ms"] =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            boot_clock::now() - load_reported_at_)
            .count();
    answer_json(exchange, 200, report, yield);
}

void engine_stand_in::tell_cache_events(http_exchange& exchange,
                                        boost::asio::yield_context yield)
{
    std::uint64_t next = to_number(exchange.request().query("after"));
    nlohmann::json events = nlohmann::json::array();
    for (const cache_event& item : cache_events_.read(next, boot_clock::now()))
    {
        events.push_back(
            {{"sequence", item.sequence},
             {"prefix_hash", item.change.prefix_hash},
             {"kind", item.change.is_stored ? "stored" : "evicted"}});
        next = item.sequence;
    }
    answer_json(exchange, 200, {{"events", events}, {"next", next}}, yield);
}

// ========================================================================
// Background work
// ========================================================================

void engine_stand_in::run_batches(boost::asio::yield_context yield)
{
    for (;;)
    {
        if (!scheduler_.has_work())
        {
            work_.wait(idle_wait, yield);
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
        if (is_leaving_ || faults_.leaving)
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
        drop_old_generations();
        sleep_for(context_, settings_.load_report_lag, yield);
    }
}

void engine_stand_in::drop_old_generations()
{
    const time_point now = boot_clock::now();
    for (auto next = generations_.begin(); next != generations_.end();)
    {
        kept_generation& kept = next->second;
        const std::chrono::seconds limit =
            kept.item->is_active() ? abandoned_limit : finished_limit;
        const bool is_old = kept.readers == 0 && now - kept.last_read > limit;
        if (is_old)
            scheduler_.end(*kept.item, generation_state::cancelled);
        next = is_old ? generations_.erase(next) : std::next(next);
    }
}

} // namespace hibiscusferry::stand_ins
