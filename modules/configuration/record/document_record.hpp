#ifndef HIBISCUSFERRY_CONFIGURATION_RECORD_DOCUMENT_RECORD_HPP
#define HIBISCUSFERRY_CONFIGURATION_RECORD_DOCUMENT_RECORD_HPP

#include "configuration/errors/configuration_error.hpp"
#include "foundation/foundation.hpp"
#include <cstdint>
#include <map>
#include <string>

namespace hibiscusferry
{

/** The version of a document: the number of the change that created it,
    counted across all documents of the fleet. It increases monotonically;
    0 means that there is no document. */
using document_version = std::uint64_t;

/** A committed document. */
struct document_record
{
    std::string service;
    document_version version = 0;
    /** The operator's id of the change that created this version. */
    std::string change_id;
    std::string author;
    /** The TOML text; empty if the service was removed. */
    std::string text;

    /** @returns the JSON payload of the document's row */
    std::string row_text() const;

    /** Parses the output of row_text().
        @returns configuration_error::bad_record if the text is malformed */
    static result<document_record> parse(const std::string& text);
};

/** The payload of the index row: the latest version of every document. */
struct document_index
{
    /** The highest version; the index contains all changes up to it. */
    document_version revision = 0;
    std::map<std::string, document_version> versions;

    std::string row_text() const;
    static result<document_index> parse(const std::string& text);
};

/** The key of the index row. */
constexpr const char* document_index_key = "documents/index";

/** @returns the key of a service's document: documents/by_name/SERVICE */
std::string document_key(const std::string& service);

/** @returns the key of the row that permanently stores a change and its text:
             document_changes/SERVICE/CHANGE_ID */
std::string document_change_key(const std::string& service,
                                const std::string& change_id);

} // namespace hibiscusferry

#endif
