#include "document/document.hpp"
#include "fuzz_input.hpp"
#include <sstream>

using namespace hibiscusferry;

namespace
{

/** Serializes all fields of a document so that two documents can be
    compared. */
std::string serialized_fields(const service_document& document)
{
    constexpr char separator = '\0';
    std::ostringstream out;
    out << std::hexfloat << document.schema << separator << document.service
        << separator << document.owner << separator
        << static_cast<int>(document.kind) << separator << document.region
        << separator << static_cast<int>(document.targets_check_orders)
        << separator << document.limits.queue_length << separator
        << document.limits.body_bytes << separator
        << document.limits.retry_percent << separator
        << document.limits.target_concurrency << separator
        << document.cost.prefill << separator << document.cost.decode
        << separator << document.latency.first_token.count() << separator
        << document.latency.between_tokens.count() << separator
        << document.roles.goodput_weight << separator
        << document.roles.max_unavailable << separator
        << document.roles.change_duration.count() << separator
        << document.roles.min_mixed_engines << separator;
    for (const std::string& model : document.models)
        out << "model" << separator << model << separator;
    for (const request_class& entry : document.classes)
    {
        out << "class" << separator << entry.name << separator << entry.urgent
            << separator << entry.method << separator << entry.path << separator
            << entry.header << separator << entry.deadline.count() << separator;
    }
    for (const not_repeatable_rule& rule : document.not_repeatable)
    {
        out << "rule" << separator << rule.method << separator << rule.path
            << separator << rule.status_path << separator;
    }
    for (const workspace_entry& workspace : document.workspaces)
    {
        out << "customer" << separator << workspace.name << separator
            << workspace.key_sha256 << separator << workspace.weight
            << separator << workspace.tokens_per_second << separator
            << workspace.urgent_tokens_per_second << separator;
    }
    return out.str();
}

} // namespace

/** Fuzzes the parser of service documents. Parsing must return either a
   document or problems, and an added comment at the end of a valid text must
   not change the parsed document. */
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    const std::string text = input_text(data, size);
    const document_parse_result parsed = parse_service_document(text, "x.toml");
    require(parsed.document.has_value() == parsed.problems.empty(),
            "parsing returns either a document or problems");
    if (!parsed.document)
        return 0;
    const document_parse_result reparsed =
        parse_service_document(text + "\n# End.\n", "y.toml");
    require(reparsed.problems.empty(),
            "a valid document stays valid with an added comment");
    require(serialized_fields(*reparsed.document) ==
                serialized_fields(*parsed.document),
            "an added comment does not change a document");
    return 0;
}
