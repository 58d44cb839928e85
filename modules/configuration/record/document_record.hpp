#ifndef HIBISCUSFERRY_CONFIGURATION_RECORD_DOCUMENT_RECORD_HPP
#define HIBISCUSFERRY_CONFIGURATION_RECORD_DOCUMENT_RECORD_HPP

#include "configuration/errors/configuration_error.hpp"
#include "foundation/foundation.hpp"
#include <cstdint>
#include <map>
#include <string>

namespace hibiscusferry
{

/** The version of a document: the number, counted over all documents of the
    fleet, of the change that made it. It only grows; 0: no document. */
using document_version = std::uint64_t;

/** A committed document. */
struct document_record
{
    std::string service;
    document_version version = 0;
    /** The operator's id of the change that made this version. */
    std::string change_id;
    std::string author;
    /** The TOML text; empty when the service was removed. */
    std::string text;

    /** JSON text, the payload of its row. */
    std::string row_text() const;

    /** Reads what row_text() wrote; configuration_error::bad_record
        otherwise. */
    static result<document_record> parse(const std::string& text);
};

/** The payload of the index row: the newest version of every document. */
struct document_index
{
    /** The greatest version; all changes up to it are in the index. */
    document_version revision = 0;
    std::map<std::string, document_version> versions;

    std::string row_text() const;
    static result<document_index> parse(const std::string& text);
};

/** Key of the index row. */
constexpr const char* document_index_key = "documents/index";

/** Key of a service's document: documents/by_name/SERVICE. */
std::string document_key(const std::string& service);

/** Key of the row that keeps a change for good, with the text that it
    brought: document_changes/SERVICE/CHANGE_ID. */
std::string document_change_key(const std::string& service,
                                const std::string& change_id);

} // namespace hibiscusferry

#endif
