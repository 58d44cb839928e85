#include "stand_ins/platform/platform_stand_in.hpp"

#include <algorithm>
#include <charconv>

namespace hibiscusferry::stand_ins
{

namespace
{

constexpr std::size_t largest_value_bytes = 256U << 10;
constexpr std::size_t default_scan_rows = 100;
constexpr std::string_view objects_path = "/v1/objects/";

nlohmann::json to_json(const table_row& row)
{
    return {{"key", row.key}, {"value", row.value}, {"version", row.version}};
}

nlohmann::json to_json(const std::vector<table_row>& rows)
{
    nlohmann::json list = nlohmann::json::array();
    for (const table_row& row : rows)
        list.push_back(to_json(row));
    return list;
}

/** Throws nlohmann::json::exception on a malformed transaction. */
table_transaction read_transaction(const nlohmann::json& body)
{
    table_transaction transaction;
    transaction.write_id = body.at("write_id").get<std::string>();
    for (const nlohmann::json& item : body.at("conditions"))
    {
        row_condition condition{item.at("key").get<std::string>(), {}};
        if (item.contains("version"))
            condition.version =
                item.at("version")
                    .get_ref<const nlohmann::json::number_unsigned_t&>();
        transaction.conditions.push_back(condition);
    }
    for (const nlohmann::json& item : body.at("writes"))
    {
        row_write write{item.at("key").get<std::string>(), {}};
        if (item.contains("value"))
            write.value = item.at("value").get<std::string>();
        transaction.writes.push_back(write);
    }
    return transaction;
}

bool is_too_large(const table_transaction& transaction)
{
    return std::any_of(transaction.writes.begin(), transaction.writes.end(),
                       [](const row_write& write) {
                           return write.value &&
                                  write.value->size() > largest_value_bytes;
                       });
}

std::size_t read_limit(const std::string& text)
{
    std::size_t limit = default_scan_rows;
    std::from_chars(text.data(), text.data() + text.size(), limit);
    return std::min(limit, http_table_store::most_rows_per_call);
}

} // namespace

platform_stand_in::platform_stand_in(boost::asio::io_context& context)
    : context_(context)
{
    host_lists_.push_back(
        {boot_clock::now(),
         {{"revision", 0}, {"hosts", nlohmann::json::array()}}});
}

void platform_stand_in::serve(http_exchange& exchange,
                              boost::asio::yield_context yield)
{
    const std::string_view path = exchange.request().path();
    if (path.substr(0, 9) == "/control/")
        return serve_control(exchange, yield);
    if (faults_.silent)
        return stay_silent(context_, exchange, yield);
    if (faults_.mode == "down")
        return answer_json(exchange, 503, error_body("down"), yield);
    if (faults_.mode == "slow")
        sleep_for(context_, faults_.delay, yield);
    serve_platform(exchange, yield);
}

// ========================================================================
// Control
// ========================================================================

void platform_stand_in::serve_control(http_exchange& exchange,
                                      boost::asio::yield_context yield)
{
    const http_request& request = exchange.request();
    if (request.path() == "/control/hosts" && request.method == "PUT")
        return set_hosts(exchange, yield);
    if (request.path() == "/control/faults" && request.method == "POST")
        return set_faults(exchange, yield);
    if (request.path() == "/control/counts" && request.method == "GET")
        return answer_json(
            exchange, 200,
            {{"reads", reads_}, {"writes", writes_}, {"conflicts", conflicts_}},
            yield);
    answer_json(exchange, 404, error_body("not_found"), yield);
}

void platform_stand_in::set_hosts(http_exchange& exchange,
                                  boost::asio::yield_context yield)
{
    nlohmann::json list = read_object(exchange.request());
    if (list.is_discarded() || !list.contains("hosts"))
        return answer_json(exchange, 400, error_body("bad_host_list"), yield);

    ++host_list_revision_;
    list["revision"] = host_list_revision_;
    host_lists_.push_back({boot_clock::now(), list});
    answer_json(exchange, 200, {{"revision", host_list_revision_}}, yield);
}

void platform_stand_in::set_faults(http_exchange& exchange,
                                   boost::asio::yield_context yield)
{
    const nlohmann::json body = read_object(exchange.request());
    if (body.is_discarded())
        return answer_json(exchange, 400, error_body("bad_faults"), yield);
    try
    {
        platform_faults faults;
        faults.mode = body.value("mode", "up");
        faults.delay = std::chrono::milliseconds(body.value("delay_ms", 0));
        faults.lose_answers_percent = body.value("lose_answers_percent", 0U);
        faults.delay_writes_percent = body.value("delay_writes_percent", 0U);
        faults.delay_writes =
            std::chrono::milliseconds(body.value("delay_writes_ms", 0));
        faults.silent = body.value("silent", false);
        faults.host_list_lag =
            std::chrono::milliseconds(body.value("host_list_lag_ms", 0));
        if (body.contains("seed"))
            random_.seed(body.at("seed").get<std::uint64_t>());
        faults_ = faults;
    }
    catch (const nlohmann::json::exception& problem)
    {
        return answer_json(exchange, 400, error_body(problem.what()), yield);
    }
    answer_json(exchange, 200, nlohmann::json::object(), yield);
}

// ========================================================================
// The platform's services
// ========================================================================

void platform_stand_in::serve_platform(http_exchange& exchange,
                                       boost::asio::yield_context yield)
{
    const http_request& request = exchange.request();
    const std::string_view path = request.path();
    const bool is_object = path.substr(0, objects_path.size()) == objects_path;

    if (path == "/v1/transactions" && request.method == "POST")
        return commit(exchange, yield);
    if (path == "/v1/rows" && request.method == "GET")
        return read_rows(exchange, yield);
    if (path == "/v1/hosts" && request.method == "GET")
        return read_hosts(exchange, yield);
    if (is_object && request.method == "PUT")
        return write_object(exchange, yield);
    if (is_object && request.method == "GET")
        return read_object_bytes(exchange, yield);
    answer_json(exchange, 404, error_body("no_such_call"), yield);
}

void platform_stand_in::commit(http_exchange& exchange,
                               boost::asio::yield_context yield)
{
    const nlohmann::json body = read_object(exchange.request());
    table_transaction transaction;
    try
    {
        transaction = read_transaction(body);
    }
    catch (const nlohmann::json::exception&)
    {
        return answer_json(exchange, 400, error_body("bad_transaction"), yield);
    }
    if (is_too_large(transaction))
        return answer_json(exchange, 413, error_body("too_large"), yield);

    delay_write(yield);
    const commit_receipt receipt = table_.commit(transaction);
    ++(receipt.committed ? writes_ : conflicts_);
    // Returning without an answer cuts the connection.
    if (happens(faults_.lose_answers_percent))
        return;
    if (receipt.committed)
        return answer_json(exchange, 200,
                           {{"committed", true}, {"version", receipt.version}},
                           yield);
    answer_json(
        exchange, 409,
        {{"committed", false}, {"conflicts", to_json(receipt.conflicts)}},
        yield);
}

void platform_stand_in::read_rows(http_exchange& exchange,
                                  boost::asio::yield_context yield)
{
    ++reads_;
    const http_request& request = exchange.request();
    const std::string key = request.query("key");
    if (key.empty())
    {
        const std::vector<table_row> rows =
            table_.scan(request.query("prefix"), request.query("after"),
                        read_limit(request.query("limit")));
        return answer_json(exchange, 200, {{"rows", to_json(rows)}}, yield);
    }
    const result<table_row> row = table_.read(key);
    if (!row)
        return answer_json(exchange, 404, error_body("not_found"), yield);
    answer_json(exchange, 200, to_json(row.value()), yield);
}

void platform_stand_in::write_object(http_exchange& exchange,
                                     boost::asio::yield_context yield)
{
    const std::string name =
        url_decode(exchange.request().path().substr(objects_path.size()));
    delay_write(yield);
    objects_[name] = exchange.request().body;
    ++writes_;
    if (happens(faults_.lose_answers_percent))
        return;
    answer(exchange, {204, {}, ""}, yield);
}

void platform_stand_in::read_object_bytes(http_exchange& exchange,
                                          boost::asio::yield_context yield)
{
    ++reads_;
    const auto found = objects_.find(
        url_decode(exchange.request().path().substr(objects_path.size())));
    if (found == objects_.end())
        return answer_json(exchange, 404, error_body("not_found"), yield);
    const std::string bytes = found->second;
    answer(exchange,
           {200, {{"Content-Type", "application/octet-stream"}}, bytes}, yield);
}

void platform_stand_in::read_hosts(http_exchange& exchange,
                                   boost::asio::yield_context yield)
{
    ++reads_;
    const time_point seen_until = boot_clock::now() - faults_.host_list_lag;
    while (host_lists_.size() > 1 && host_lists_[1].since <= seen_until)
        host_lists_.pop_front();
    const nlohmann::json list = host_lists_.front().list;
    answer_json(exchange, 200, list, yield);
}

// ========================================================================
// Faults
// ========================================================================

bool platform_stand_in::happens(unsigned percent)
{
    return random_() % 100 < percent;
}

void platform_stand_in::delay_write(boost::asio::yield_context yield)
{
    if (happens(faults_.delay_writes_percent))
        sleep_for(context_, faults_.delay_writes, yield);
}

} // namespace hibiscusferry::stand_ins
