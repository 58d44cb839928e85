#ifndef HIBISCUSFERRY_DOCUMENT_MODEL_REQUEST_CLASSIFICATION_HPP
#define HIBISCUSFERRY_DOCUMENT_MODEL_REQUEST_CLASSIFICATION_HPP

#include "document/model/service_document.hpp"
#include <string>
#include <string_view>

namespace hibiscusferry
{

/** The properties of a request that determine its class. */
struct request_traits
{
    std::string method;
    /** The path relative to the service, without the query. */
    std::string path;
    /** The value of the X-Request-Class header, or empty. */
    std::string class_header;
};

/** Returns true if the path equals the pattern or, if the pattern ends with
    '*', begins with the text before it. An empty pattern matches every path. */
bool matches_path(std::string_view pattern, std::string_view path);

/** Returns the first class of the document that matches the request, or a
    default class that is not urgent and has the default deadline. */
const request_class& class_of(const service_document& document,
                              const request_traits& traits);

/** Returns the rule according to which the request may run at most once, or
    null. */
const not_repeatable_rule*
not_repeatable_rule_of(const service_document& document,
                       const request_traits& traits);

/** Returns true if the request may be retried after an attempt whose outcome is
    unknown. This holds for all model requests, and for GET, HEAD and OPTIONS
    requests of an application service that match no not_repeatable rule. */
bool is_idempotent(const service_document& document,
                   const request_traits& traits);

/** Returns the workspace whose bearer key has the given digest, or null. */
const workspace_entry* workspace_of(const service_document& document,
                                    std::string_view key_sha256);

} // namespace hibiscusferry

#endif
