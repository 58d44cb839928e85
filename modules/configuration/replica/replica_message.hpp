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

/** Asks a peer for what is newer than `revision`. */
struct document_query
{
    std::uint64_t query_id = 0;
    /** The asker holds all documents up to this version. */
    document_version revision = 0;
};

/** The answer to a document_query. */
struct document_reply
{
    std::uint64_t query_id = 0;
    /** The answerer holds all documents up to this version. */
    document_version revision = 0;
    /** Whether the answerer has ever known its documents to be current. */
    bool is_started = false;
    /** How long ago, when the reply was made, it was certain that no newer
        version had been committed; none: never. */
    std::optional<std::chrono::milliseconds> confirmation_age;
    /** The newest version of each document above the asker's revision, in
        ascending order of version; possibly not all of them. */
    std::vector<document_record> documents;
    /** Whether `documents` holds all of them. */
    bool is_complete = true;
};

} // namespace hibiscusferry

#endif
