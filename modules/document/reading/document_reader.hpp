#ifndef HIBISCUSFERRY_DOCUMENT_READING_DOCUMENT_READER_HPP
#define HIBISCUSFERRY_DOCUMENT_READING_DOCUMENT_READER_HPP

#include "document/model/service_document.hpp"
#include "settings/settings.hpp"
#include <optional>
#include <string>

namespace hibiscusferry
{

/** The result of parsing a document: the document, or the problems found. */
struct document_parse_result
{
    /** Set if there are no problems. */
    std::optional<service_document> document;
    settings_problems problems;
};

/** The maximum size of a document's text, in bytes. */
constexpr std::size_t document_byte_limit = 256U << 10;

/** Parses and validates a complete service document.

    @param text the document as TOML
    @param file_name the file name used in problem messages
*/
document_parse_result parse_service_document(const std::string& text,
                                             const std::string& file_name);

} // namespace hibiscusferry

#endif
