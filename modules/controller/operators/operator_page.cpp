#include "controller/operators/operator_page.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace hibiscusferry
{

namespace
{

using nlohmann::json;

constexpr std::string_view operator_prefix = "/v1/operator/";
constexpr std::size_t rows_per_page = 100;

http_response error_response(unsigned status, const std::string& code,
                             const std::string& message)
{
    return json_response(
        status, json{{"error", {{"code", code}, {"message", message}}}}.dump());
}

http_response store_error_response(const std::error_code& error)
{
    return error_response(503, "store_unavailable", error.message());
}

json record_json(const document_record& record)
{
    return {{"service", record.service},
            {"version", record.version},
            {"change_id", record.change_id},
            {"author", record.author},
            {"text", record.text}};
}

std::string text_in(const json& object, const char* key)
{
    return object.contains(key) && object[key].is_string()
               ? object[key].get<std::string>()
               : std::string();
}

/** The HTTP status and the name of a verdict on a change. */
struct verdict_mapping
{
    change_verdict verdict;
    unsigned status;
    const char* name;
};

constexpr verdict_mapping verdict_mappings[] = {
    {change_verdict::committed, 202, "committed"},
    {change_verdict::accepted, 200, "accepted"},
    {change_verdict::conflict, 409, "conflict"},
    {change_verdict::change_id_reused, 422, "change_id_reused"},
    {change_verdict::not_written, 503, "not_written"},
    {change_verdict::unknown, 504, "unknown"}};

http_response to_response(const change_response& answer)
{
    const auto mapping =
        std::find_if(std::begin(verdict_mappings), std::end(verdict_mappings),
                     [&answer](const verdict_mapping& candidate)
                     { return candidate.verdict == answer.verdict; });
    json body = {{"verdict", mapping->name},
                 {"version", answer.version},
                 {"missing_regions", answer.missing_regions}};
    if (answer.verdict == change_verdict::conflict)
        body["current"] = record_json(answer.current);
    return json_response(mapping->status, body.dump());
}

/** Waits for one response of the platform, which is passed to a handler. */
template <class Value>
class platform_response
{
public:
    explicit platform_response(boost::asio::io_context& context)
        : state_(std::make_shared<state>(context))
    {
    }

    std::function<void(result<Value>)> handler()
    {
        return [shared = state_](result<Value> response)
        {
            shared->response = std::move(response);
            shared->timer.cancel();
        };
    }

    result<Value> wait(boost::asio::yield_context yield)
    {
        boost::system::error_code ignored;
        while (!state_->response)
        {
            state_->timer.expires_at(
                boost::asio::steady_timer::time_point::max());
            state_->timer.async_wait(yield[ignored]);
        }
        return *state_->response;
    }

private:
    struct state
    {
        explicit state(boost::asio::io_context& context)
            : timer(context)
        {
        }

        boost::asio::steady_timer timer;
        std::optional<result<Value>> response;
    };

    std::shared_ptr<state> state_;
};

} // namespace

const operator_page::route operator_page::routes[] = {
    {"GET", "documents", &operator_page::list_documents},
    {"GET", "documents/", &operator_page::show_document},
    {"POST", "documents/", &operator_page::change_document},
    {"GET", "history/", &operator_page::show_history},
    {"GET", "unresolved", &operator_page::show_unresolved}};

operator_page::operator_page(process_core& core)
    : core_(core)
{
}

result<void> operator_page::start()
{
    const result<platform_adapters*> platform =
        core_.services().find<platform_adapters>(platform_adapters::name);
    const result<editor_service*> editor =
        core_.services().find<editor_service>(editor_service::name);
    const result<document_service*> documents =
        core_.services().find<document_service>(document_service::name);
    const result<admin_service*> admin =
        core_.services().find<admin_service>(admin_service::name);
    if (!platform || !editor || !documents || !admin)
        return make_error_code(kernel_error::not_found);

    table_ = &platform.value()->table();
    editor_ = editor.value();
    documents_ = documents.value();
    admin.value()->add_page(
        std::string(operator_prefix),
        [this](http_exchange& exchange, boost::asio::yield_context yield)
        {
            const result<void> ignored =
                exchange.respond(serve(exchange.request(), yield), yield);
            static_cast<void>(ignored);
        });
    return outcome::success();
}

void operator_page::stop()
{
}

http_response operator_page::serve(const http_request& request,
                                   boost::asio::yield_context yield)
{
    if (!is_operator(request))
        return error_response(401, "unknown_operator",
                              "send an operator key as Authorization: "
                              "Bearer KEY");
    const std::string path(request.path().substr(operator_prefix.size()));
    for (const route& candidate : routes)
    {
        const std::string prefix = candidate.path;
        const bool has_argument = prefix.back() == '/';
        const bool is_match =
            has_argument ? path.size() > prefix.size() &&
                               path.compare(0, prefix.size(), prefix) == 0
                         : path == prefix;
        if (!is_match || request.method != candidate.method)
            continue;
        const std::string argument =
            has_argument ? url_decode(path.substr(prefix.size())) : "";
        return (this->*candidate.serve)(request, argument, yield);
    }
    return error_response(404, "no_such_call", "see docs/INTERFACES.md");
}

bool operator_page::is_operator(const http_request& request) const
{
    constexpr std::string_view scheme = "Bearer ";
    const std::string_view authorization =
        request.headers.value("Authorization");
    if (authorization.substr(0, scheme.size()) != scheme)
        return false;
    const std::string digest =
        sha256_hex(std::string(authorization.substr(scheme.size())));
    const std::vector<std::string>& key_digests =
        core_.settings().operator_key_sha256;
    return std::find(key_digests.begin(), key_digests.end(), digest) !=
           key_digests.end();
}

http_response operator_page::list_documents(const http_request&,
                                            const std::string&,
                                            boost::asio::yield_context)
{
    json versions = json::object();
    for (const std::string& service : documents_->names())
        versions[service] = documents_->replica().document(service)->version;
    return json_response(200, json{{"documents", versions}}.dump());
}

http_response operator_page::show_document(const http_request&,
                                           const std::string& argument,
                                           boost::asio::yield_context yield)
{
    platform_response<table_row> response(core_.context());
    table_->read(document_key(argument), platform_adapters::call_timeout,
                 response.handler());
    const result<table_row> row = response.wait(yield);
    if (!row && row.error() == platform_error::not_found)
        return error_response(404, "no_such_document",
                              "no document with this name");
    if (!row)
        return store_error_response(row.error());
    const result<document_record> record =
        document_record::parse(row_stamp::parse(row.value().value).payload);
    if (!record)
        return error_response(500, "bad_record", record.error().message());
    return json_response(200, record_json(record.value()).dump());
}

http_response operator_page::change_document(const http_request& request,
                                             const std::string& argument,
                                             boost::asio::yield_context yield)
{
    const json body = json::parse(request.body, nullptr, false);
    const bool is_change = body.is_object() && body.contains("text") &&
                           body.contains("expected_version") &&
                           body["expected_version"].is_number_unsigned() &&
                           !text_in(body, "change_id").empty();
    if (!is_change)
        return error_response(400, "bad_change",
                              "the body must be a JSON object with change_id, "
                              "expected_version, author and text");
    document_change change;
    change.service = argument;
    change.change_id = text_in(body, "change_id");
    change.expected_version = body["expected_version"].get<document_version>();
    change.author = text_in(body, "author");
    change.text = text_in(body, "text");

    if (!change.text.empty())
    {
        const document_parse_result parsed =
            parse_service_document(change.text, argument);
        if (!parsed.document)
            return error_response(400, "bad_document",
                                  to_text(parsed.problems));
        if (parsed.document->service != argument)
            return error_response(400, "bad_document",
                                  "the document is for a different service");
    }
    return to_response(editor_->change(change, yield));
}

http_response operator_page::show_history(const http_request& request,
                                          const std::string& argument,
                                          boost::asio::yield_context yield)
{
    return show_rows(document_change_key(argument, ""), request, yield);
}

http_response operator_page::show_unresolved(const http_request& request,
                                             const std::string&,
                                             boost::asio::yield_context yield)
{
    return show_rows(unresolved_prefix, request, yield);
}

http_response operator_page::show_rows(const std::string& prefix,
                                       const http_request& request,
                                       boost::asio::yield_context yield)
{
    platform_response<std::vector<table_row>> response(core_.context());
    table_->scan(prefix, request.query("after"), rows_per_page,
                 platform_adapters::call_timeout, response.handler());
    const result<std::vector<table_row>> rows = response.wait(yield);
    if (!rows)
        return store_error_response(rows.error());
    json page = json::array();
    for (const table_row& row : rows.value())
    {
        const std::string payload = row_stamp::parse(row.value).payload;
        page.push_back({{"key", row.key},
                        {"record", json::parse(payload, nullptr, false)}});
    }
    return json_response(200, json{{"rows", page}}.dump());
}

} // namespace hibiscusferry
