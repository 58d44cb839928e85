#ifndef HIBISCUSFERRY_CONFIGURATION_REPLICA_REPLICA_MESSAGE_HPP
#define HIBISCUSFERRY_CONFIGURATION_REPLICA_REPLICA_MESSAGE_HPP

#include "configuration/record/document_record.hpp"
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hibiscusferry
{

/** Requests the documents newer than `revision` from a peer. */
struct document_query
{
    std::uint64_t query_id = 0;
    /** The sender holds all documents up to this version. */
    document_version revision = 0;
};

/** The reply to a document_query. */
struct document_reply
{
    std::uint64_t query_id = 0;
    /** The replying host holds all documents up to this version. */
    document_version revision = 0;
    /** Whether the replying host has ever confirmed that its documents are
        current. */
    bool is_started = false;
    /** Age of the last confirmation that no newer version had been committed,
        when the reply was created; nullopt if there was none. */
    std::optional<std::chrono::milliseconds> confirmation_age;
    /** The latest versions of the documents newer than the revision in the
        query, in ascending order of version; possibly not all of them. */
    std::vector<document_record> documents;
    /** Whether `documents` contains all of them. */
    bool is_complete = true;
};

} // namespace hibiscusferry

#endif
