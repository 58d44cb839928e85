#ifndef HIBISCUSFERRY_SHARING_MESSAGE_SHARING_MESSAGE_HPP
#define HIBISCUSFERRY_SHARING_MESSAGE_SHARING_MESSAGE_HPP

#include "foundation/foundation.hpp"
#include "sharing/load/load_aggregator.hpp"
#include "sharing/replication/fleet_replicas.hpp"
#include <string>
#include <string_view>
#include <vector>

namespace hibiscusferry
{

/** A datagram from one host to another. */
struct sharing_message
{
    enum class kind
    {
        host_report,   ///< the load of a host, sent to the relay of its zone
        host_response, ///< the load of all other hosts, sent in reply
        zone_report,   ///< the sum of a zone, sent to the relay of another
        zone_response  ///< the sum of the receiving zone, sent in reply
    };

    kind type = kind::host_report;
    /** The name of the sending host. */
    std::string host;
    /** The availability zone of the sending host. */
    std::string availability_zone;
    /** The sequence number of a report, repeated in its response. */
    std::uint64_t number = 0;
    /** Whether the sender considers itself the relay of its zone. */
    bool is_relay = false;
    load_part load;
    /** The state of the sender's replicas. */
    replica_positions positions;
};

/** With the loads of this many targets a datagram stays below 1,400 bytes, a
    size that passes any link without fragmentation; a few datagrams a second
   are larger because they also hold observations of engines. */
constexpr std::size_t max_targets_per_message = 45;

/** Splits loads into parts that each fit into one message.
    @returns at least one part */
std::vector<load_part> split_loads(const aggregated_loads& loads);

/** Encodes a message as a CBOR array. Loads are rounded to tenths of a request
    and to multiples of 16 tokens, the size of a KV cache block. */
std::string encode_message(const sharing_message& message);

/** Decodes the form that encode_message() produces.
    @returns std::errc::bad_message if the bytes have another form */
result<sharing_message> decode_message(std::string_view bytes);

} // namespace hibiscusferry

#endif
