#include "document/document.hpp"
#include "fuzz_input.hpp"
#include <sstream>

using namespace hibiscusferry;

namespace
{

/** All that a document says, to compare two. */
std::string contents(const service_document& document)
{
    constexpr char end = '\0';
    std::ostringstream out;
    out << std::hexfloat << document.schema << end << document.service << end
        << document.owner << end << static_cast<int>(document.kind) << end
        << document.region << end
        << static_cast<int>(document.targets_check_orders) << end
        << document.limits.queue_length << end << document.limits.body_bytes
        << end << document.limits.retry_percent << end
        << document.limits.target_concurrency << end << document.cost.prefill
        << end << document.cost.decode << end
        << document.latency.first_token.count() << end
        << document.latency.between_tokens.count() << end
        << document.roles.goodput_weight << end
        << document.roles.max_unavailable << end
        << document.roles.change_duration.count() << end
        << document.roles.min_mixed_engines << end;
    for (const std::string& model : document.models)
        out << "model" << end << model << end;
    for (const request_class& entry : document.classes)
    {
        out << "class" << end << entry.name << end << entry.urgent << end
            << entry.method << end << entry.path << end << entry.header << end
            << entry.deadline.count() << end;
    }
    for (const not_repeatable_rule& rule : document.not_repeatable)
    {
        out << "rule" << end << rule.method << end << rule.path << end
            << rule.status_path << end;
    }
    for (const workspace_entry& workspace : document.workspaces)
    {
        out << "customer" << end << workspace.name << end
            << workspace.key_sha256 << end << workspace.weight << end
            << workspace.tokens_per_second << end
            << workspace.urgent_tokens_per_second << end;
    }
    return out.str();
}

} // namespace

/** Service documents: a text gives either a document or problems, and a
    document without problems reads the same again, also with a comment more
    at its end. */
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    const std::string text = input_text(data, size);
    const document_parse_result reading =
        parse_service_document(text, "x.toml");
    require(reading.document.has_value() == reading.problems.empty(),
            "a text gives either a document or problems");
    if (!reading.document)
        return 0;
    const document_parse_result again =
        parse_service_document(text + "\n# End.\n", "y.toml");
    require(again.problems.empty(), "a good document reads well again");
    require(contents(*again.document) == contents(*reading.document),
            "a good document reads the same again");
    return 0;
}
