#ifndef HIBISCUSFERRY_DOCUMENT_READING_DOCUMENT_READER_HPP
#define HIBISCUSFERRY_DOCUMENT_READING_DOCUMENT_READER_HPP

#include "document/model/service_document.hpp"
#include "settings/settings.hpp"
#include <optional>
#include <string>

namespace hibiscusferry
{

/** A document read from a text, or what is wrong with it. */
struct document_parse_result
{
    /** Set when there are no problems. */
    std::optional<service_document> document;
    settings_problems problems;
};

/** The largest text of a document, in bytes. */
constexpr std::size_t document_byte_limit = 256U << 10;

/** Reads and checks a service document, whole.
    @param file_name  named in the problems */
document_parse_result parse_service_document(const std::string& text,
                                             const std::string& file_name);

} // namespace hibiscusferry

#endif
