#ifndef HIBISCUSFERRY_SHARING_CRASHES_CRASH_MESSAGE_HPP
#define HIBISCUSFERRY_SHARING_CRASHES_CRASH_MESSAGE_HPP

#include "sharing/crashes/crash_evidence.hpp"
#include <map>
#include <string>
#include <string_view>

namespace hibiscusferry
{

/** A datagram about crashes of targets. Times are sent as ages, because the
    clocks of the hosts are not comparable. */
struct crash_message
{
    enum class kind
    {
        report, ///< records that are new to the sender
        query,  ///< asks for a report from a host with another digest
        reply   ///< a report in response to a query
    };

    /** With this many inputs a datagram stays below 1,400 bytes, a size that
        passes any link without fragmentation. */
    static constexpr std::size_t max_inputs = 8;

    kind type = kind::report;
    /** Of all evidence of the sender. */
    std::uint64_t digest = 0;
    std::map<input_key, input_record> records;
};

/** Whether a datagram is a crash_message of any format version, and not a
    message of another kind. */
bool is_crash_message(std::string_view bytes);

/** Encodes a message as a flat CBOR array. It must not have more than
    crash_message::max_inputs records. */
std::string encode_crash_message(const crash_message& message, time_point now);

/** Decodes the form that encode_crash_message() produces.
    @returns std::errc::bad_message if the bytes have another form */
result<crash_message> decode_crash_message(std::string_view bytes,
                                           time_point now);

} // namespace hibiscusferry

#endif
