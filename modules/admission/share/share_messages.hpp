#ifndef HIBISCUSFERRY_ADMISSION_SHARE_SHARE_MESSAGES_HPP
#define HIBISCUSFERRY_ADMISSION_SHARE_SHARE_MESSAGES_HPP

#include "admission/queue/queued_request.hpp"
#include "foundation/foundation.hpp"
#include <cstdint>
#include <string>
#include <vector>

namespace hibiscusferry
{

/** Names one limit of one workspace of one service on every host. */
using share_key = std::uint64_t;

/** The key of a workspace's limit on its urgent or on all of its work. */
share_key share_key_of(const std::string& service, const std::string& workspace,
                       queue_lane lane);

/** What one reporter has counted for one limit. */
struct usage_entry
{
    share_key key = 0;
    /** Weighted tokens offered since the reporter began to count. */
    std::uint64_t offered = 0;
    /** `offered` of the previous report of this key: what a receiver that
        does not know the reporter takes the growth from. */
    std::uint64_t previously_offered = 0;
    /** The reporter needs to know the demand over all hosts. */
    bool needs_demand = false;
};

/** Usage on its way up: from a host to its relay, or from a relay to a home.
    Reports may be lost, repeated and reordered. */
struct usage_report
{
    /** The reporter's host id. */
    std::string host;
    /** Tells the counts of a restarted reporter from those before. */
    std::uint64_t incarnation = 0;
    /** Grows with each report of the incarnation. */
    std::uint64_t sequence = 0;
    /** The sum of a row of hosts, for a home; otherwise one host's own
        usage, for its relay. */
    bool from_relay = false;
    std::vector<usage_entry> entries;
};

/** The demand of one workspace over all hosts. */
struct demand_entry
{
    share_key key = 0;
    /** Weighted tokens a second, offered at all hosts together. */
    double tokens_per_second = 0;
};

/** The demand on its way down: from a home to a relay, or from a relay to a
    host. */
struct demand_response
{
    /** For share_aggregator::answer(); otherwise for
        workspace_limits::answer(). */
    bool to_relay = false;
    std::vector<demand_entry> entries;
};

/** A report and the id of the host it goes to, which may be the sender. */
struct addressed_report
{
    std::string to;
    usage_report report;
};

/** An answer and the id of the host it goes to, which may be the sender. */
struct addressed_response
{
    std::string to;
    demand_response answer;
};

/** Bytes that the transport adds to each message. */
constexpr std::size_t share_transport_bytes = 60;

/** The bytes of a message in CBOR, integers for names, without transport. */
std::size_t encoded_bytes(const usage_report& report);
std::size_t encoded_bytes(const demand_response& answer);

} // namespace hibiscusferry

#endif
