#include "operations/commands/document_commands.hpp"

#include "document/document.hpp"
#include <algorithm>
#include <iostream>
#include <nlohmann/json.hpp>

namespace hibiscusferry
{

namespace
{

using nlohmann::json;

/** The text of a document file, with the validated document. */
struct document_file
{
    std::string text;
    service_document document;
};

std::optional<document_file> read_document_file(const command_context& context,
                                                exit_code& code)
{
    if (context.arguments.size() != 1)
    {
        code = fail(exit_code::usage, "specify exactly one FILE");
        return std::nullopt;
    }
    const std::string& path = context.arguments.front();
    const std::optional<std::string> text = read_file(path);
    if (!text)
    {
        code = fail(exit_code::usage, path + " cannot be read");
        return std::nullopt;
    }
    const document_parse_result parsed = parse_service_document(*text, path);
    if (!parsed.document)
    {
        std::cerr << to_text(parsed.problems);
        code = exit_code::usage;
        return std::nullopt;
    }
    return document_file{*text, *parsed.document};
}

/** The current document; version 0 and empty text when there is none. */
struct current_document
{
    std::uint64_t version = 0;
    std::string text;
};

std::optional<current_document> fetch_current(const command_context& context,
                                              const std::string& service,
                                              exit_code& code)
{
    const result<http_response> response = context.client->call_controller(
        "GET", "documents/" + url_encode(service), "");
    if (response && response.value().status == 404)
        return current_document{};
    const std::optional<std::string> body = body_of(response, code);
    if (!body)
        return std::nullopt;
    const json record = json::parse(*body, nullptr, false);
    if (!record.is_object())
    {
        code = fail(exit_code::failed,
                    "the response of the controller is not valid JSON");
        return std::nullopt;
    }
    return current_document{record.value("version", std::uint64_t(0)),
                            record.value("text", "")};
}

/** Prints the outcome of a change according to the response. */
exit_code report_change(const command_context& context,
                        const std::string& service, const std::string& text,
                        const std::string& change_id,
                        const http_response& response)
{
    const json body = json::parse(response.body, nullptr, false);
    const std::string verdict =
        body.is_object() ? body.value("verdict", "") : "";
    if (context.as_json)
        std::cout << response.body << "\n";
    if (verdict == "accepted" || verdict == "committed")
    {
        if (!context.as_json)
            std::cout << service << " version "
                      << body.value("version", std::uint64_t(0)) << " "
                      << verdict << "\n";
        return exit_code::success;
    }
    if (verdict == "conflict")
    {
        const std::string current = body["current"].value("text", "");
        std::cerr << line_difference(current, text);
        return fail(
            exit_code::conflict,
            "version " +
                std::to_string(body.value("version", std::uint64_t(0))) +
                " is current; the difference from it is shown above");
    }
    if (verdict == "unknown")
        return fail(exit_code::unknown,
                    "the change may still take effect; run it again with "
                    "--change_id=" +
                        change_id);
    exit_code code = exit_code::failed;
    body_of(response, code);
    return code == exit_code::success ? exit_code::failed : code;
}

} // namespace

exit_code run_check(const command_context& context)
{
    exit_code code = exit_code::success;
    const std::optional<document_file> file = read_document_file(context, code);
    if (file)
        std::cout << context.arguments.front() << ": valid, service "
                  << file->document.service << "\n";
    return code;
}

exit_code run_apply(const command_context& context)
{
    exit_code code = exit_code::success;
    const std::optional<document_file> file = read_document_file(context, code);
    if (!file)
        return code;
    const std::string& service = file->document.service;
    std::uint64_t expected = context.expected_version.value_or(0);
    if (!context.expected_version)
    {
        const std::optional<current_document> current =
            fetch_current(context, service, code);
        if (!current)
            return code;
        expected = current->version;
    }
    const std::string change_id = context.change_id.empty()
                                      ? identifier_source().next()
                                      : context.change_id;
    const json change = {{"change_id", change_id},
                         {"expected_version", expected},
                         {"author", context.author},
                         {"text", file->text}};
    const result<http_response> response = context.client->call_controller(
        "POST", "documents/" + url_encode(service), change.dump());
    if (!response)
        return fail(
            exit_code::unknown,
            "no response; the change may still take effect; run it again "
            "with --change_id=" +
                change_id);
    return report_change(context, service, file->text, change_id,
                         response.value());
}

exit_code run_show(const command_context& context)
{
    exit_code code = exit_code::success;
    const bool shows_all = context.arguments.empty();
    const std::string path =
        shows_all ? "documents"
                  : "documents/" + url_encode(context.arguments.front());
    const std::optional<std::string> body =
        body_of(context.client->call_controller("GET", path, ""), code);
    if (!body)
        return code;
    const json parsed = json::parse(*body, nullptr, false);
    if (context.as_json || !parsed.is_object())
    {
        std::cout << *body << "\n";
        return code;
    }
    if (!shows_all)
    {
        std::cout << "# version " << parsed.value("version", std::uint64_t(0))
                  << ", by " << parsed.value("author", "") << "\n"
                  << parsed.value("text", "");
        return code;
    }
    for (const auto& [service, version] : parsed["documents"].items())
        std::cout << service << "  " << version << "\n";
    return code;
}

exit_code run_history(const command_context& context)
{
    if (context.arguments.size() != 1)
        return fail(exit_code::usage, "specify exactly one SERVICE");
    exit_code code = exit_code::success;
    std::vector<json> changes;
    std::string after;
    for (;;)
    {
        const std::optional<std::string> body =
            body_of(context.client->call_controller(
                        "GET",
                        "history/" + url_encode(context.arguments.front()) +
                            "?after=" + url_encode(after),
                        ""),
                    code);
        if (!body)
            return code;
        const json page = json::parse(*body, nullptr, false);
        if (!page.is_object() || page["rows"].empty())
            break;
        for (const json& row : page["rows"])
            changes.push_back(row["record"]);
        after = page["rows"].back()["key"].get<std::string>();
    }
    std::sort(changes.begin(), changes.end(),
              [](const json& left, const json& right)
              {
                  return left.value("version", std::uint64_t(0)) <
                         right.value("version", std::uint64_t(0));
              });
    for (const json& change : changes)
    {
        if (context.as_json)
            std::cout << change.dump() << "\n";
        else
            std::cout << change.value("version", std::uint64_t(0)) << "  "
                      << change.value("author", "") << "  "
                      << change.value("change_id", "") << "\n";
    }
    return code;
}

exit_code run_diff(const command_context& context)
{
    exit_code code = exit_code::success;
    const std::optional<document_file> file = read_document_file(context, code);
    if (!file)
        return code;
    const std::optional<current_document> current =
        fetch_current(context, file->document.service, code);
    if (current)
        std::cout << line_difference(current->text, file->text);
    return code;
}

} // namespace hibiscusferry
