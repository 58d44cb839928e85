#ifndef HIBISCUSFERRY_DOCUMENT_MODEL_REQUEST_CLASSIFICATION_HPP
#define HIBISCUSFERRY_DOCUMENT_MODEL_REQUEST_CLASSIFICATION_HPP

#include "document/model/service_document.hpp"
#include <string>
#include <string_view>

namespace hibiscusferry
{

/** What of a request decides its class. */
struct request_traits
{
    std::string method;
    /** The path below the service, without the query. */
    std::string path;
    /** The value of X-Request-Class, or empty. */
    std::string class_header;
};

/** Whether a path meets a pattern: equal, or equal up to a trailing '*'.
    An empty pattern is met by every path. */
bool matches_path(std::string_view pattern, std::string_view path);

/** The first class of the document that the request belongs to, or a
    normal one with default deadline when there is none. */
const request_class& class_of(const service_document& document,
                              const request_traits& traits);

/** The rule that the request may run at most once, or null. */
const not_repeatable_rule*
not_repeatable_rule_of(const service_document& document,
                       const request_traits& traits);

/** Whether the request may be sent again by the system after an attempt
    whose outcome is unknown: all model requests, and GET, HEAD and OPTIONS
    of an application service that no rule forbids. */
bool is_idempotent(const service_document& document,
                   const request_traits& traits);

/** The workspace with that bearer key's digest, or null. */
const workspace_entry* workspace_of(const service_document& document,
                                    std::string_view key_sha256);

} // namespace hibiscusferry

#endif
