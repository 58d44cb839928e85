#include "document/model/request_classification.hpp"

#include <algorithm>

namespace hibiscusferry
{

namespace
{

bool matches(const request_class& candidate, const request_traits& traits)
{
    const bool method_matches =
        candidate.method.empty() || candidate.method == traits.method;
    const bool header_matches =
        candidate.header.empty() || candidate.header == traits.class_header;
    return method_matches && header_matches &&
           matches_path(candidate.path, traits.path);
}

} // namespace

bool matches_path(std::string_view pattern, std::string_view path)
{
    if (pattern.empty())
        return true;
    if (pattern.back() != '*')
        return pattern == path;
    pattern.remove_suffix(1);
    return path.substr(0, pattern.size()) == pattern;
}

const request_class& class_of(const service_document& document,
                              const request_traits& traits)
{
    static const request_class normal = {"normal"};
    const auto match =
        std::find_if(document.classes.begin(), document.classes.end(),
                     [&traits](const request_class& candidate)
                     { return matches(candidate, traits); });
    return match == document.classes.end() ? normal : *match;
}

const not_repeatable_rule*
not_repeatable_rule_of(const service_document& document,
                       const request_traits& traits)
{
    for (const not_repeatable_rule& rule : document.not_repeatable)
    {
        if (rule.method == traits.method &&
            matches_path(rule.path, traits.path))
            return &rule;
    }
    return nullptr;
}

bool is_idempotent(const service_document& document,
                   const request_traits& traits)
{
    if (not_repeatable_rule_of(document, traits) != nullptr)
        return false;
    return document.kind == service_kind::model || traits.method == "GET" ||
           traits.method == "HEAD" || traits.method == "OPTIONS";
}

const workspace_entry* workspace_of(const service_document& document,
                                    std::string_view key_sha256)
{
    for (const workspace_entry& workspace : document.workspaces)
    {
        if (workspace.key_sha256 == key_sha256)
            return &workspace;
    }
    return nullptr;
}

} // namespace hibiscusferry
