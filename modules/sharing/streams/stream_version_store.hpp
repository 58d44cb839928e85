#ifndef HIBISCUSFERRY_SHARING_STREAMS_STREAM_VERSION_STORE_HPP
#define HIBISCUSFERRY_SHARING_STREAMS_STREAM_VERSION_STORE_HPP

#include "foundation/foundation.hpp"
#include <boost/multi_index/hashed_index.hpp>
#include <boost/multi_index/member.hpp>
#include <boost/multi_index/ordered_index.hpp>
#include <boost/multi_index/sequenced_index.hpp>
#include <boost/multi_index_container.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace hibiscusferry
{

/** Identifies a stream among all hosts: the stable_hash() of the id of the
    request that began it. */
using stream_key = std::uint64_t;

/** The software version of the target that began a stream. */
struct stream_version
{
    std::string version;
    /** How long it remains of use. */
    std::chrono::milliseconds lifetime{0};
};

/** Stores the versions of streams until they expire, in bounded memory.

    If the store is full, a new record replaces the oldest one.
*/
class stream_version_store
{
public:
    /** @param max_records  at least 1 */
    explicit stream_version_store(std::size_t max_records);

    /** Stores the version of a stream, or extends the lifetime of the stored
        one. If another version is stored for the same key, two streams have
        the same key; neither is found from then on. */
    void record(stream_key key, const stream_version& value, time_point now);

    /** The version of a stream with its remaining lifetime; none if it is not
        stored, has expired or is ambiguous. */
    std::optional<stream_version> find(stream_key key, time_point now) const;

    /** The number of records, which may include some that have expired since
        the last call of record(). */
    std::size_t size() const;

private:
    struct entry
    {
        stream_key key = 0;
        time_point expires_at{};
        std::string version;
        /** Whether the key was recorded with different versions. */
        bool is_ambiguous = false;
    };

    struct by_key;
    struct by_expiry;
    struct by_age;

    using entry_set = boost::multi_index_container<
        entry,
        boost::multi_index::indexed_by<
            boost::multi_index::hashed_unique<
                boost::multi_index::tag<by_key>,
                boost::multi_index::member<entry, stream_key, &entry::key>>,
            boost::multi_index::ordered_non_unique<
                boost::multi_index::tag<by_expiry>,
                boost::multi_index::member<entry, time_point,
                                           &entry::expires_at>>,
            boost::multi_index::sequenced<boost::multi_index::tag<by_age>>>>;

    void remove_expired(time_point now);

    std::size_t max_records_;
    entry_set entries_;
};

} // namespace hibiscusferry

#endif
