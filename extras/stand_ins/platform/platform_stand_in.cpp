#include "stand_ins/platform/platform_stand_in.hpp"

#include <algorithm>
#include <boost/beast/core/detail/base64.hpp>
#include <charconv>

namespace hibiscusferry::stand_ins
{

namespace
{

constexpr std::size_t max_value_bytes = 256U << 10;
constexpr std::size_t max_rows_per_response = 500;
constexpr std::size_t max_transaction_entries = 100;
constexpr std::chrono::milliseconds max_feed_wait{30000};
/** The interval at which a waiting feed request polls for changes. */
constexpr std::chrono::milliseconds feed_poll_interval{5};
const std::string blob_path = "/-/blob-";

namespace base64 = boost::beast::detail::base64;

std::string encode(const std::string& value)
{
    std::string text(base64::encoded_size(value.size()), '\0');
    text.resize(base64::encode(text.data(), value.data(), value.size()));
    return text;
}

std::string decode(const std::string& text)
{
    std::string value(base64::decoded_size(text.size()), '\0');
    value.resize(base64::decode(value.data(), text.data(), text.size()).first);
    return value;
}

nlohmann::json to_json(const table_row& row)
{
    const std::size_t slash = row.key.find('/');
    return {{"table", row.key.substr(0, slash)},
            {"part", ""},
            {"key", row.key.substr(slash + 1)},
            {"value", encode(row.value)},
            {"ver", row.version}};
}

nlohmann::json to_json(const row_change& change)
{
    nlohmann::json entry = to_json(change.row);
    if (!change.is_deletion)
        return entry;
    entry.erase("value");
    entry["tombstone"] = true;
    return entry;
}

/** Returns the row key of an entry.

    @throws std::exception if the key is missing or the entry names a part
*/
std::string parse_row_key(const nlohmann::json& entry)
{
    if (!entry.value("part", "").empty())
        throw std::invalid_argument("named parts are not supported");
    return entry.at("table").get<std::string>() + "/" +
           entry.at("key").get<std::string>();
}

/** @throws std::exception if the transaction is malformed */
table_transaction parse_transaction(const nlohmann::json& body)
{
    const nlohmann::json empty_list = nlohmann::json::array();
    table_transaction transaction;
    for (const nlohmann::json& entry :
         body.value("expected-revision", empty_list))
    {
        const row_version version = entry.at("ver").get<row_version>();
        row_condition condition{parse_row_key(entry), std::nullopt};
        if (version != 0)
            condition.version = version;
        transaction.conditions.push_back(condition);
    }
    for (const nlohmann::json& entry : body.value("set-keys", empty_list))
        transaction.writes.push_back(
            {parse_row_key(entry),
             decode(entry.at("value").get<std::string>())});
    for (const nlohmann::json& entry : body.value("delete", empty_list))
        transaction.writes.push_back({parse_row_key(entry), std::nullopt});
    if (transaction.conditions.size() + transaction.writes.size() >
        max_transaction_entries)
        throw std::invalid_argument("transaction has too many entries");
    return transaction;
}

bool is_too_large(const table_transaction& transaction)
{
    return std::any_of(transaction.writes.begin(), transaction.writes.end(),
                       [](const row_write& write) {
                           return write.value &&
                                  write.value->size() > max_value_bytes;
                       });
}

std::uint64_t parse_number(const std::string& text, std::uint64_t default_value)
{
    std::uint64_t number = default_value;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

/** Returns NAME from a path such as "/-/blob-put/NAME". */
std::string blob_name(const http_request& request)
{
    const std::string_view path = request.path();
    return url_decode(path.substr(path.find('/', blob_path.size()) + 1));
}

bool starts_with(std::string_view text, std::string_view beginning)
{
    return text.substr(0, beginning.size()) == beginning;
}

} // namespace

platform_stand_in::platform_stand_in(boost::asio::io_context& context)
    : context_(context)
{
}

void platform_stand_in::serve(http_exchange& exchange,
                              boost::asio::yield_context yield)
{
    if (starts_with(exchange.request().path(), "/control/"))
        return serve_control(exchange, yield);
    if (faults_.silent)
        return hang_until_disconnect(context_, exchange, yield);
    if (faults_.mode == "down")
        return send_json(exchange, 503, error_body("down"), yield);
    if (faults_.mode == "slow")
        sleep_for(context_, faults_.delay, yield);
    serve_store(exchange, yield);
}

// ========================================================================
// Control
// ========================================================================

void platform_stand_in::serve_control(http_exchange& exchange,
                                      boost::asio::yield_context yield)
{
    const http_request& request = exchange.request();
    if (request.path() == "/control/faults" && request.method == "POST")
        return set_faults(exchange, yield);
    if (request.path() == "/control/counts" && request.method == "GET")
        return send_json(
            exchange, 200,
            {{"reads", reads_}, {"writes", writes_}, {"conflicts", conflicts_}},
            yield);
    send_json(exchange, 404, error_body("not_found"), yield);
}

void platform_stand_in::set_faults(http_exchange& exchange,
                                   boost::asio::yield_context yield)
{
    const nlohmann::json body = parse_object(exchange.request());
    if (body.is_discarded())
        return send_json(exchange, 400, error_body("bad_faults"), yield);
    try
    {
        platform_faults faults;
        faults.mode = body.value("mode", "up");
        faults.delay = std::chrono::milliseconds(body.value("delay_ms", 0));
        faults.lost_response_percent = body.value("lose_answers_percent", 0U);
        faults.delayed_write_percent = body.value("delay_writes_percent", 0U);
        faults.write_delay =
            std::chrono::milliseconds(body.value("delay_writes_ms", 0));
        faults.silent = body.value("silent", false);
        if (body.contains("seed"))
            random_.seed(body.at("seed").get<std::uint64_t>());
        if (body.value("forget", false))
            table_.clear_history();
        if (body.value("save", false))
            table_.save();
        if (body.value("restore", false))
            table_.restore();
        faults_ = faults;
    }
    catch (const nlohmann::json::exception& problem)
    {
        return send_json(exchange, 400, error_body(problem.what()), yield);
    }
    send_json(exchange, 200, nlohmann::json::object(), yield);
}

// ========================================================================
// Store
// ========================================================================

void platform_stand_in::serve_store(http_exchange& exchange,
                                    boost::asio::yield_context yield)
{
    const http_request& request = exchange.request();
    const std::string_view path = request.path();
    if (path == "/-/rows-tx" && request.method == "POST")
        return commit(exchange, yield);
    if (path == "/-/rows-get" && request.method == "GET")
        return read_rows(exchange, yield);
    if (path == "/-/rows-feed" && request.method == "GET")
        return feed(exchange, yield);
    if (starts_with(path, "/-/blob-put/") && request.method == "PUT")
        return put_blob(exchange, yield);
    if (starts_with(path, "/-/blob-get/") && request.method == "GET")
        return read_blob(exchange, yield);
    if (starts_with(path, "/-/blob-drop/") && request.method == "DELETE")
        return delete_blob(exchange, yield);
    send_json(exchange, 404, error_body("no_such_call"), yield);
}

nlohmann::json platform_stand_in::rows_response(nlohmann::json rows) const
{
    return {{"rows", std::move(rows)},
            {"ver", table_.version()},
            {"now-ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                           boot_clock::now().time_since_epoch())
                           .count()}};
}

void platform_stand_in::send_rows(http_exchange& exchange, unsigned status,
                                  const nlohmann::json& body,
                                  boost::asio::yield_context yield)
{
    http_response response = json_response(status, body.dump());
    response.headers.set("Store-Era", std::to_string(table_.era()));
    send_response(exchange, response, yield);
}

void platform_stand_in::commit(http_exchange& exchange,
                               boost::asio::yield_context yield)
{
    table_transaction transaction;
    try
    {
        transaction = parse_transaction(parse_object(exchange.request()));
    }
    catch (const std::exception&)
    {
        return send_rows(exchange, 400, error_body("bad_transaction"), yield);
    }
    if (is_too_large(transaction))
        return send_rows(exchange, 413, error_body("too_large"), yield);

    delay_write(yield);
    const commit_receipt receipt = table_.commit(transaction);
    ++(receipt.committed ? writes_ : conflicts_);
    // Returning without a response closes the connection.
    if (should_inject(faults_.lost_response_percent))
        return;
    if (receipt.committed)
        return send_rows(exchange, 200, rows_response(nlohmann::json::array()),
                         yield);
    nlohmann::json rows = nlohmann::json::array();
    for (const row_condition& condition : transaction.conditions)
    {
        const std::size_t slash = condition.key.find('/');
        const std::string name = condition.key.substr(slash + 1);
        for (const table_row& row :
             table_.rows(condition.key.substr(0, slash), name, name + '\0', 1))
            rows.push_back(to_json(row));
    }
    send_rows(exchange, 412, rows_response(std::move(rows)), yield);
}

void platform_stand_in::read_rows(http_exchange& exchange,
                                  boost::asio::yield_context yield)
{
    ++reads_;
    const http_request& request = exchange.request();
    const std::size_t limit =
        std::min(parse_number(request.query("limit"), max_rows_per_response),
                 max_rows_per_response);
    const std::vector<table_row> matching_rows =
        table_.rows(request.query("table"), request.query("from"),
                    request.query("to"), limit + 1);
    nlohmann::json rows = nlohmann::json::array();
    for (std::size_t index = 0; index < std::min(matching_rows.size(), limit);
         ++index)
        rows.push_back(to_json(matching_rows[index]));
    nlohmann::json response_body = rows_response(std::move(rows));
    response_body["truncated"] = matching_rows.size() > limit;
    send_rows(exchange, 200, response_body, yield);
}

void platform_stand_in::feed(http_exchange& exchange,
                             boost::asio::yield_context yield)
{
    ++reads_;
    const std::string table = exchange.request().query("table");
    const row_version after =
        parse_number(exchange.request().query("after"), 0);
    const time_point deadline =
        boot_clock::now() + std::min<std::chrono::milliseconds>(
                                std::chrono::milliseconds(parse_number(
                                    exchange.request().query("wait-ms"), 0)),
                                max_feed_wait);
    for (;;)
    {
        const std::optional<std::vector<row_change>> changes =
            table_.changes(table, after);
        if (!changes)
            return send_rows(exchange, 410, error_body("gone"), yield);
        if (!changes->empty() || boot_clock::now() >= deadline)
        {
            nlohmann::json rows = nlohmann::json::array();
            for (const row_change& change : *changes)
                rows.push_back(to_json(change));
            return send_rows(exchange, 200, rows_response(std::move(rows)),
                             yield);
        }
        sleep_for(context_, feed_poll_interval, yield);
    }
}

void platform_stand_in::put_blob(http_exchange& exchange,
                                 boost::asio::yield_context yield)
{
    const std::string name = blob_name(exchange.request());
    const bool is_create_only =
        exchange.request().headers.value("If-None-Match") == "*";
    if (is_create_only && blobs_.count(name) > 0)
        return send_json(exchange, 412, error_body("exists"), yield);
    delay_write(yield);
    blobs_[name] = exchange.request().body;
    ++writes_;
    if (should_inject(faults_.lost_response_percent))
        return;
    send_json(exchange, 200, nlohmann::json::object(), yield);
}

void platform_stand_in::read_blob(http_exchange& exchange,
                                  boost::asio::yield_context yield)
{
    ++reads_;
    const auto blob = blobs_.find(blob_name(exchange.request()));
    if (blob == blobs_.end())
        return send_json(exchange, 404, error_body("not_found"), yield);
    const std::string bytes = blob->second;
    send_response(exchange,
                  {200, {{"Content-Type", "application/octet-stream"}}, bytes},
                  yield);
}

void platform_stand_in::delete_blob(http_exchange& exchange,
                                    boost::asio::yield_context yield)
{
    const bool was_deleted = blobs_.erase(blob_name(exchange.request())) > 0;
    send_json(exchange, was_deleted ? 200 : 404, nlohmann::json::object(),
              yield);
}

// ========================================================================
// Faults
// ========================================================================

bool platform_stand_in::should_inject(unsigned percent)
{
    return random_() % 100 < percent;
}

void platform_stand_in::delay_write(boost::asio::yield_context yield)
{
    if (should_inject(faults_.delayed_write_percent))
        sleep_for(context_, faults_.write_delay, yield);
}

} // namespace hibiscusferry::stand_ins
