#ifndef HIBISCUSFERRY_SHARING_STREAMS_STREAM_VERSION_MESSAGE_HPP
#define HIBISCUSFERRY_SHARING_STREAMS_STREAM_VERSION_MESSAGE_HPP

#include "foundation/foundation.hpp"
#include "sharing/streams/stream_version_store.hpp"
#include <optional>
#include <string>
#include <string_view>

namespace hibiscusferry
{

/** Longest version of a stream that is stored or sent. */
constexpr std::size_t max_stream_version_bytes = 128;

/** Longest lifetime of a record that is accepted from another host. */
constexpr std::chrono::hours max_stream_record_lifetime{1};

/** A datagram about the version of a stream. */
struct stream_version_message
{
    enum class kind
    {
        record,   ///< a version, sent to the hosts that store it
        question, ///< asks for the version of a stream
        answer    ///< sent in reply to a question
    };

    kind type = kind::record;
    /** The stream; not part of an answer. */
    stream_key key = 0;
    /** The number of a question, repeated in its answer. */
    std::uint64_t number = 0;
    /** The version in a record or an answer; none in the answer of a host that
        does not know it. */
    std::optional<stream_version> value;
};

/** Whether a datagram is a stream_version_message of any format version, and
    not a message of another kind. */
bool is_stream_version_message(std::string_view bytes);

/** Encodes a message as a flat CBOR array. Its version must not be longer than
    max_stream_version_bytes. */
std::string encode_stream_message(const stream_version_message& message);

/** Decodes the form that encode_stream_message() produces.
    @returns std::errc::bad_message if the bytes have another form */
result<stream_version_message> decode_stream_message(std::string_view bytes);

} // namespace hibiscusferry

#endif
