#include "document/reading/document_reader.hpp"

#include <algorithm>
#include <cctype>
#include <set>

namespace hibiscusferry
{

namespace
{

constexpr double max_tokens_per_second = 1e9;
constexpr std::chrono::milliseconds one_millisecond{1};
constexpr std::chrono::milliseconds one_hour{3600000};

bool is_valid_name(const std::string& text)
{
    return !text.empty() && text.size() <= 64 &&
           std::all_of(text.begin(), text.end(),
                       [](unsigned char character)
                       {
                           return std::islower(character) != 0 ||
                                  std::isdigit(character) != 0 ||
                                  character == '-';
                       });
}

std::string read_name(const checked_table& table, const std::string& key)
{
    const std::string name = table.required_text(key);
    if (!name.empty() && !is_valid_name(name))
        table.note(key, "must be 1 to 64 of a-z, 0-9 and -");
    return name;
}

std::string read_path(const checked_table& table, const std::string& key)
{
    const std::string path = table.text(key, "");
    if (!path.empty() && path.front() != '/')
        table.note(key, "must begin with /");
    return path;
}

service_limits read_limits(const checked_table& table)
{
    service_limits limits;
    limits.queue_length = static_cast<std::uint32_t>(
        table.integer("queue_length", limits.queue_length, 1, 100000));
    limits.body_bytes = static_cast<std::uint64_t>(table.integer(
        "body_bytes", static_cast<std::int64_t>(limits.body_bytes), 1024,
        8 << 20));
    limits.retry_percent = static_cast<std::uint32_t>(
        table.integer("retry_percent", limits.retry_percent, 0, 100));
    limits.target_concurrency = static_cast<std::uint32_t>(table.integer(
        "target_concurrency", limits.target_concurrency, 1, 10000));
    return limits;
}

token_cost read_cost(const checked_table& table)
{
    token_cost cost;
    cost.prefill = table.number("prefill", cost.prefill, 0.000001, 1000);
    cost.decode = table.number("decode", cost.decode, 0.000001, 1000);
    return cost;
}

latency_targets read_latency(const checked_table& table)
{
    latency_targets latency;
    latency.first_token = table.milliseconds(
        "first_token_ms", latency.first_token, one_millisecond, one_hour);
    latency.between_tokens = table.milliseconds(
        "between_tokens_ms", latency.between_tokens, one_millisecond, one_hour);
    return latency;
}

role_rules read_roles(const checked_table& table)
{
    role_rules rules;
    rules.goodput_weight =
        table.number("goodput_weight", rules.goodput_weight, 0, 1);
    rules.max_unavailable = static_cast<std::uint32_t>(
        table.integer("most_away", rules.max_unavailable, 1, 1000));
    rules.change_duration = table.milliseconds(
        "change_duration_ms", rules.change_duration, one_millisecond, one_hour);
    rules.min_mixed_engines = static_cast<std::uint32_t>(
        table.integer("least_mixed", rules.min_mixed_engines, 0, 100000));
    return rules;
}

request_class read_class(const checked_table& table)
{
    request_class entry;
    entry.name = read_name(table, "name");
    entry.urgent = table.boolean("urgent", false);
    entry.method = table.text("method", "");
    entry.path = read_path(table, "path");
    entry.header = table.text("header", "");
    entry.deadline = table.milliseconds("deadline_ms", entry.deadline,
                                        one_millisecond, one_hour);
    return entry;
}

not_repeatable_rule read_rule(const checked_table& table)
{
    not_repeatable_rule rule;
    rule.method = table.required_text("method");
    table.required_text("path");
    rule.path = read_path(table, "path");
    rule.status_path = read_path(table, "status_path");
    const bool lacks_key = !rule.status_path.empty() &&
                           rule.status_path.find("{key}") == std::string::npos;
    if (lacks_key)
        table.note("status_path", "must contain {key}");
    return rule;
}

workspace_entry read_workspace(const checked_table& table)
{
    workspace_entry workspace;
    workspace.name = read_name(table, "name");
    workspace.key_sha256 = table.required_text("key_sha256");
    const bool is_digest = workspace.key_sha256.size() == 64 &&
                           workspace.key_sha256.find_first_not_of(
                               "0123456789abcdef") == std::string::npos;
    if (!is_digest)
        table.note("key_sha256", "must be a SHA-256 digest of 64 lower-case "
                                 "hexadecimal digits");
    workspace.weight = table.number("weight", workspace.weight, 0.001, 1000);
    workspace.tokens_per_second =
        table.number("tokens_per_second", 0, 0, max_tokens_per_second);
    workspace.urgent_tokens_per_second =
        table.number("urgent_tokens_per_second", 0, 0, max_tokens_per_second);
    return workspace;
}

void read_workspaces(const checked_table& root, service_document& document)
{
    std::set<std::string> names;
    std::set<std::string> keys;
    for (const checked_table& table : root.tables("customers"))
    {
        const workspace_entry workspace = read_workspace(table);
        if (!names.insert(workspace.name).second)
            table.note("name", "is used by another customer");
        if (!keys.insert(workspace.key_sha256).second)
            table.note("key_sha256", "is used by another customer");
        document.workspaces.push_back(workspace);
    }
    if (document.workspaces.empty())
        root.note("customers", "must name at least one customer");
}

} // namespace

document_parse_result parse_service_document(const std::string& text,
                                             const std::string& file_name)
{
    document_parse_result parsed;
    if (text.size() > document_byte_limit)
    {
        parsed.problems.push_back({file_name, 0,
                                   "must have at most " +
                                       std::to_string(document_byte_limit) +
                                       " bytes"});
        return parsed;
    }

    const checked_table root = checked_table::parse(text, file_name);
    service_document document;
    document.schema =
        static_cast<std::uint32_t>(root.integer("schema", 1, 1, 1));
    document.service = read_name(root, "service");
    document.owner = root.required_text("owner");
    document.kind = static_cast<service_kind>(
        root.choice("kind", 0, {"model", "application"}));
    document.region = read_name(root, "region");
    document.models = root.texts("models");
    document.targets_check_orders = static_cast<order_check>(
        root.choice("targets_check_orders", 0, {"fencing", "none"}));
    document.limits = read_limits(root.table("limits"));
    document.cost = read_cost(root.table("cost"));
    document.latency = read_latency(root.table("latency"));
    document.roles = read_roles(root.table("roles"));
    for (const checked_table& table : root.tables("classes"))
        document.classes.push_back(read_class(table));
    for (const checked_table& table : root.tables("not_repeatable"))
        document.not_repeatable.push_back(read_rule(table));
    read_workspaces(root, document);
    if (document.kind == service_kind::model && document.models.empty())
        root.note("models", "must name at least one model");

    parsed.problems = root.finish();
    if (parsed.problems.empty())
        parsed.document = document;
    return parsed;
}

} // namespace hibiscusferry
