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

/** A datagram between two hosts. */
struct sharing_message
{
    enum class kind
    {
        host_report,   ///< a host's own load, to the relay of its zone
        host_response, ///< to a host: the load of all others
        zone_report,   ///< the sum of a zone, to the relay of another one
        zone_response  ///< the sum of the other zone in return
    };

    kind what = kind::host_report;
    /** The sender's host and availability zone. */
    std::string host;
    std::string availability_zone;
    /** A report's number; its answer repeats it. */
    std::uint64_t number = 0;
    /** Whether the sender takes itself for the relay of its zone. */
    bool is_relay = false;
    load_part load;
    /** How far the sender has read the tables. */
    replica_positions positions;
};

/** Targets that one datagram holds; with them it stays below the 1,400 bytes
    that pass any link unfragmented. */
constexpr std::size_t targets_in_message = 45;

/** Loads in parts that fit into a message each; at least one. */
std::vector<load_part> split_loads(const aggregated_loads& loads);

/** A CBOR array. Loads are rounded to tenths of a request and to 16 tokens,
    the size of a block of KV cache. */
std::string encode_message(const sharing_message& message);

/** std::errc::bad_message if the bytes are not of that form. */
result<sharing_message> decode_message(std::string_view bytes);

} // namespace hibiscusferry

#endif
