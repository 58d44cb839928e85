#include "storage/table_store/http_table_store.hpp"

#include "storage/service/platform_call.hpp"
#include <algorithm>
#include <nlohmann/json.hpp>

namespace hibiscusferry
{

namespace
{

/** Throws nlohmann::json::exception on a text that is not UTF-8. */
std::string transaction_body(const table_transaction& transaction)
{
    nlohmann::json conditions = nlohmann::json::array();
    for (const row_condition& condition : transaction.conditions)
    {
        nlohmann::json item = {{"key", condition.key}};
        if (condition.version)
            item["version"] = *condition.version;
        conditions.push_back(item);
    }
    nlohmann::json writes = nlohmann::json::array();
    for (const row_write& write : transaction.writes)
    {
        nlohmann::json item = {{"key", write.key}};
        if (write.value)
            item["value"] = *write.value;
        writes.push_back(item);
    }
    const nlohmann::json body = {{"write_id", transaction.write_id},
                                 {"conditions", conditions},
                                 {"writes", writes}};
    return body.dump();
}

/** Throws nlohmann::json::exception when it is not a natural number; get()
    would take a negative one. */
row_version read_version(const nlohmann::json& item)
{
    return item.get_ref<const nlohmann::json::number_unsigned_t&>();
}

/** Throws nlohmann::json::exception on a malformed row. */
table_row read_row(const nlohmann::json& item)
{
    return {item.at("key").get<std::string>(),
            item.at("value").get<std::string>(),
            read_version(item.at("version"))};
}

/** Throws nlohmann::json::exception on malformed rows. */
std::vector<table_row> read_rows(const nlohmann::json& list)
{
    std::vector<table_row> rows;
    for (const nlohmann::json& item : list)
        rows.push_back(read_row(item));
    return rows;
}

result<commit_receipt> read_receipt(const http_response& answer)
{
    const bool is_expected = answer.status == 200 || answer.status == 409;
    if (!is_expected)
        return make_error_code(unexpected_status(answer.status));
    try
    {
        const nlohmann::json body = nlohmann::json::parse(answer.body);
        commit_receipt receipt;
        receipt.committed = body.at("committed").get<bool>();
        if (receipt.committed != (answer.status == 200))
            return make_error_code(platform_error::bad_answer);
        if (receipt.committed)
            receipt.version = read_version(body.at("version"));
        else
            receipt.conflicts = read_rows(body.at("conflicts"));
        return receipt;
    }
    catch (const nlohmann::json::exception&)
    {
        return make_error_code(platform_error::bad_answer);
    }
}

result<table_row> read_single_row(const http_response& answer,
                                  const std::string& key)
{
    if (answer.status == 404)
        return make_error_code(platform_error::not_found);
    if (answer.status != 200)
        return make_error_code(unexpected_status(answer.status));
    try
    {
        table_row row = read_row(nlohmann::json::parse(answer.body));
        if (row.key != key)
            return make_error_code(platform_error::bad_answer);
        return row;
    }
    catch (const nlohmann::json::exception&)
    {
        return make_error_code(platform_error::bad_answer);
    }
}

/** Whether the rows are those of a page: in order, after `after`, and with
    the prefix. */
bool is_page(const std::vector<table_row>& rows, const std::string& prefix,
             const std::string& after)
{
    const std::string* last = &after;
    for (const table_row& row : rows)
    {
        const bool has_prefix = row.key.compare(0, prefix.size(), prefix) == 0;
        if (!has_prefix || row.key <= *last)
            return false;
        last = &row.key;
    }
    return true;
}

result<std::vector<table_row>> read_page(const http_response& answer,
                                         const std::string& prefix,
                                         const std::string& after,
                                         std::size_t limit)
{
    if (answer.status != 200)
        return make_error_code(unexpected_status(answer.status));
    try
    {
        std::vector<table_row> rows =
            read_rows(nlohmann::json::parse(answer.body).at("rows"));
        if (rows.size() > limit || !is_page(rows, prefix, after))
            return make_error_code(platform_error::bad_answer);
        return rows;
    }
    catch (const nlohmann::json::exception&)
    {
        return make_error_code(platform_error::bad_answer);
    }
}

result<commit_receipt> commit_rows(const platform_service& service,
                                   const table_transaction& transaction,
                                   time_point deadline,
                                   boost::asio::yield_context yield)
{
    http_request request{"POST", "/v1/transactions"};
    request.headers.set("Content-Type", "application/json");
    try
    {
        request.body = transaction_body(transaction);
    }
    catch (const nlohmann::json::exception&)
    {
        return make_error_code(platform_error::not_sent);
    }
    const result<http_response> answer =
        platform_write(service, request, deadline, yield);
    if (!answer)
        return answer.error();
    return read_receipt(answer.value());
}

result<std::vector<table_row>> scan_rows(const platform_service& service,
                                         const std::string& prefix,
                                         std::string after, std::size_t limit,
                                         time_point deadline,
                                         boost::asio::yield_context yield)
{
    std::vector<table_row> found;
    while (found.size() < limit)
    {
        const std::size_t page_limit = std::min(
            limit - found.size(), http_table_store::most_rows_per_call);
        const http_request request{"GET",
                                   "/v1/rows?prefix=" + url_encode(prefix) +
                                       "&after=" + url_encode(after) +
                                       "&limit=" + std::to_string(page_limit)};
        const result<http_response> answer =
            platform_read(service, request, deadline, yield);
        if (!answer)
            return answer.error();
        const result<std::vector<table_row>> page =
            read_page(answer.value(), prefix, after, page_limit);
        if (!page)
            return page.error();
        found.insert(found.end(), page.value().begin(), page.value().end());
        if (page.value().size() < page_limit)
            break;
        after = found.back().key;
    }
    return found;
}

} // namespace

http_table_store::http_table_store(platform_service service)
    : service_(std::move(service))
{
}

void http_table_store::commit(const table_transaction& transaction,
                              std::chrono::milliseconds time_limit,
                              commit_handler handler)
{
    const time_point deadline = boot_clock::now() + time_limit;
    start_task(
        service_.context,
        [service = service_, transaction, deadline,
         handler = std::move(handler)](boost::asio::yield_context yield)
        { handler(commit_rows(service, transaction, deadline, yield)); });
}

void http_table_store::read(const std::string& key,
                            std::chrono::milliseconds time_limit,
                            read_handler handler)
{
    const time_point deadline = boot_clock::now() + time_limit;
    start_task(service_.context,
               [service = service_, key, deadline,
                handler = std::move(handler)](boost::asio::yield_context yield)
               {
                   const http_request request{"GET", "/v1/rows?key=" +
                                                         url_encode(key)};
                   const result<http_response> answer =
                       platform_read(service, request, deadline, yield);
                   if (!answer)
                       handler(answer.error());
                   else
                       handler(read_single_row(answer.value(), key));
               });
}

void http_table_store::scan(const std::string& prefix, const std::string& after,
                            std::size_t limit,
                            std::chrono::milliseconds time_limit,
                            scan_handler handler)
{
    const time_point deadline = boot_clock::now() + time_limit;
    start_task(
        service_.context,
        [service = service_, prefix, after, limit, deadline,
         handler = std::move(handler)](boost::asio::yield_context yield) {
            handler(scan_rows(service, prefix, after, limit, deadline, yield));
        });
}

} // namespace hibiscusferry
