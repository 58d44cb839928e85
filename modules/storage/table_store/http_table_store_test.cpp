#include "storage/testing/platform_server.hpp"

#include <nlohmann/json.hpp>

using namespace hibiscusferry;
using boost::asio::yield_context;

namespace
{

constexpr std::chrono::milliseconds table_time_limit{5000};
constexpr std::chrono::milliseconds short_time_limit{100};

const table_transaction insert{"w1", {{"k", std::nullopt}}, {{"k", "v"}}};

result<commit_receipt>
commit(platform_server& server, const table_transaction& transaction,
       std::chrono::milliseconds limit = table_time_limit)
{
    http_table_store store(server.service());
    return server.await<commit_receipt>(
        [&](const table_store::commit_handler& handler)
        { store.commit(transaction, limit, handler); });
}

result<table_row> read(platform_server& server, const std::string& key,
                       std::chrono::milliseconds limit = table_time_limit)
{
    http_table_store store(server.service());
    return server.await<table_row>([&](const table_store::read_handler& handler)
                                   { store.read(key, limit, handler); });
}

result<std::vector<table_row>> scan(platform_server& server,
                                    const std::string& prefix,
                                    const std::string& after, std::size_t limit)
{
    http_table_store store(server.service());
    return server.await<std::vector<table_row>>(
        [&](const table_store::scan_handler& handler)
        { store.scan(prefix, after, limit, table_time_limit, handler); });
}

nlohmann::json rows_json(const std::vector<table_row>& rows)
{
    nlohmann::json list = nlohmann::json::array();
    for (const table_row& row : rows)
        list.push_back(
            {{"key", row.key}, {"value", row.value}, {"version", row.version}});
    return list;
}

/** Serves a memory_table, written apart from the adapter it tests. */
http_response serve_table(memory_table& table, const http_request& request)
{
    if (request.path() == "/v1/rows" && request.query("key").empty())
    {
        const std::vector<table_row> rows =
            table.scan(request.query("prefix"), request.query("after"),
                       std::stoul(request.query("limit")));
        return json_response(
            200, nlohmann::json({{"rows", rows_json(rows)}}).dump());
    }
    if (request.path() == "/v1/rows")
    {
        const result<table_row> row = table.read(request.query("key"));
        if (!row)
            return json_response(404, "{}");
        return json_response(200, rows_json({row.value()}).at(0).dump());
    }
    const nlohmann::json body = nlohmann::json::parse(request.body);
    table_transaction transaction{body.at("write_id"), {}, {}};
    for (const nlohmann::json& item : body.at("conditions"))
    {
        row_condition condition{item.at("key"), std::nullopt};
        if (item.contains("version"))
            condition.version = item.at("version").get<row_version>();
        transaction.conditions.push_back(condition);
    }
    for (const nlohmann::json& item : body.at("writes"))
    {
        row_write write{item.at("key"), std::nullopt};
        if (item.contains("value"))
            write.value = item.at("value").get<std::string>();
        transaction.writes.push_back(write);
    }
    const commit_receipt receipt = table.commit(transaction);
    if (receipt.committed)
        return json_response(200, nlohmann::json({{"committed", true},
                                                  {"version", receipt.version}})
                                      .dump());
    return json_response(
        409, nlohmann::json({{"committed", false},
                             {"conflicts", rows_json(receipt.conflicts)}})
                 .dump());
}

http_server::handler handler_of(memory_table& table)
{
    return [&table](http_exchange& exchange, yield_context yield)
    {
        exchange.respond(serve_table(table, exchange.request()), yield).value();
    };
}

} // namespace

BOOST_AUTO_TEST_SUITE(http_table_store_test)

BOOST_AUTO_TEST_CASE(commits_conflicts_and_reads_pass_unchanged)
{
    memory_table table;
    platform_server server(handler_of(table));
    const std::string key = "a b/c?&=%ü+";
    const std::string value = "\"\\\n\x01 ü";
    const commit_receipt first =
        commit(server, {"w1", {{key, std::nullopt}}, {{key, value}}}).value();
    BOOST_TEST(first.committed);
    BOOST_TEST(read(server, key).value().value == value);
    BOOST_TEST(read(server, key).value().version == first.version);

    const commit_receipt second =
        commit(server, {"w2", {{key, std::nullopt}}, {{key, "x"}}}).value();
    BOOST_TEST(!second.committed);
    BOOST_TEST(second.conflicts.at(0).version == first.version);
    BOOST_TEST(
        commit(server, {"w3", {{key, first.version}}, {{key, std::nullopt}}})
            .value()
            .committed);
    BOOST_TEST(read(server, key).error() == platform_error::not_found);
}

BOOST_AUTO_TEST_CASE(a_scan_goes_on_over_the_services_pages)
{
    memory_table table;
    table_transaction rows{"w1", {}, {}};
    for (unsigned number = 10000; number < 12500; ++number)
        rows.writes.push_back({"p/" + std::to_string(number), "v"});
    rows.writes.push_back({"q/1", "v"});
    table.commit(rows);
    platform_server server(handler_of(table));
    BOOST_TEST(scan(server, "p/", "", 5000).value().size() == 2500U);
    BOOST_TEST(server.arrivals() == 3U);
    const std::vector<table_row> some =
        scan(server, "p/", "p/10003", 2).value();
    BOOST_TEST(some.size() == 2U);
    BOOST_TEST(some.at(0).key == "p/10004");
}

BOOST_AUTO_TEST_CASE(a_commit_whose_answer_is_lost_is_unknown_and_sent_once)
{
    memory_table table;
    platform_server server(
        [&table](http_exchange& exchange, yield_context yield)
        {
            const http_response answer = serve_table(table, exchange.request());
            if (exchange.request().method == "GET")
                exchange.respond(answer, yield).value();
        });
    // The first call leaves a connection that the commit uses again.
    BOOST_TEST(read(server, "k").error() == platform_error::not_found);
    BOOST_TEST(commit(server, insert).error() ==
               platform_error::outcome_unknown);
    BOOST_TEST(server.arrivals() == 2U);
    BOOST_TEST(table.read("k").value().value == "v");
}

BOOST_AUTO_TEST_CASE(a_read_is_sent_again_once)
{
    memory_table table;
    table.commit(insert);
    unsigned cuts = 1;
    platform_server server(
        [&](http_exchange& exchange, yield_context yield)
        {
            if (cuts > 0)
            {
                --cuts;
                return;
            }
            exchange.respond(serve_table(table, exchange.request()), yield)
                .value();
        });
    BOOST_TEST(read(server, "k").value().value == "v");
    cuts = 2;
    BOOST_TEST(read(server, "k").error() == platform_error::outcome_unknown);
    BOOST_TEST(server.arrivals() == 4U);
}

BOOST_AUTO_TEST_CASE(a_write_past_its_time_limit_is_unknown_and_may_come)
{
    memory_table table;
    boost::asio::io_context* context = nullptr;
    platform_server server(
        [&](http_exchange& exchange, yield_context yield)
        {
            sleep_for(*context, short_time_limit * 4, yield);
            serve_table(table, exchange.request());
        });
    context = &server.context();
    BOOST_TEST(commit(server, insert, short_time_limit).error() ==
               platform_error::outcome_unknown);
    BOOST_TEST(!table.read("k"));
    server.context().run_for(short_time_limit * 6);
    BOOST_TEST(table.read("k").value().value == "v");
}

BOOST_AUTO_TEST_CASE(nothing_is_sent_without_a_listener_or_with_bad_text)
{
    platform_server server(json_response(200, "{}"));
    BOOST_TEST(commit(server, {"w1", {}, {{"k", "\xff"}}}).error() ==
               platform_error::not_sent);
    BOOST_TEST(server.arrivals() == 0U);

    platform_service nowhere = server.service();
    nowhere.endpoint.port = 1;
    http_table_store store(nowhere);
    const result<commit_receipt> receipt = server.await<commit_receipt>(
        [&](const table_store::commit_handler& handler)
        { store.commit(insert, table_time_limit, handler); });
    BOOST_TEST(receipt.error() == platform_error::not_sent);
}

BOOST_AUTO_TEST_CASE(only_statuses_that_say_so_mean_that_nothing_was_done)
{
    for (const unsigned status : {400U, 413U, 429U, 503U})
    {
        platform_server server(json_response(status, "{}"));
        BOOST_TEST(commit(server, insert).error() == platform_error::refused);
    }
    for (const unsigned status : {201U, 302U, 404U, 408U, 500U, 502U, 504U})
    {
        platform_server server(json_response(status, "{}"));
        BOOST_TEST(commit(server, insert).error() ==
                   platform_error::bad_answer);
    }
}

BOOST_AUTO_TEST_CASE(answers_that_do_not_fit_are_bad)
{
    for (const char* const body : {"", "garbage", "[]", R"({"committed":true})",
                                   R"({"committed":false,"version":1})",
                                   R"({"committed":true,"version":-1})",
                                   R"({"committed":true,"version":"1"})"})
    {
        platform_server server(json_response(200, body));
        BOOST_TEST(commit(server, insert).error() ==
                   platform_error::bad_answer);
    }
    // A crossed answer, and one of a page that was not asked for.
    platform_server row(
        json_response(200, R"({"key":"other","value":"v","version":1})"));
    BOOST_TEST(read(row, "k").error() == platform_error::bad_answer);
    platform_server page(json_response(
        200, R"({"rows":[{"key":"a","value":"v","version":1}]})"));
    BOOST_TEST(scan(page, "b", "", 5).error() == platform_error::bad_answer);
    BOOST_TEST(scan(page, "", "a", 5).error() == platform_error::bad_answer);
}

BOOST_AUTO_TEST_CASE(an_oversized_answer_is_bad)
{
    platform_server server(json_response(200, std::string(33U << 20, ' ')));
    BOOST_TEST(read(server, "k").error() == platform_error::bad_answer);
}

BOOST_AUTO_TEST_SUITE_END()
