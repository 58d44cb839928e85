#ifndef HIBISCUSFERRY_ADMISSION_SHARE_SHARE_MESSAGES_HPP
#define HIBISCUSFERRY_ADMISSION_SHARE_SHARE_MESSAGES_HPP

#include "admission/queue/queued_request.hpp"
#include "foundation/foundation.hpp"
#include <cstdint>
#include <string>
#include <vector>

namespace hibiscusferry
{

/** Identifies one limit of one workspace of one service, on every host. */
using share_key = std::uint64_t;

/** Returns the key of a workspace's limit: for its urgent requests if the lane
    is urgent, otherwise for all of its requests. */
share_key share_key_of(const std::string& service, const std::string& workspace,
                       queue_lane lane);

/** The usage that one reporter has counted for one limit. */
struct usage_entry
{
    share_key key = 0;
    /** Weighted tokens offered since the reporter started counting. */
    std::uint64_t offered = 0;
    /** `offered` in the previous report of this key. A receiver that has no
        state for the reporter computes the increase from it. */
    std::uint64_t previously_offered = 0;
    /** Whether the reporter needs the demand over all hosts. */
    bool needs_demand = false;
};

/** A usage report from a host to its relay, or from a relay to an owner.
    Reports may be lost, duplicated and reordered. */
struct usage_report
{
    /** The reporter's host id. */
    std::string host;
    /** Distinguishes the counts of a restarted reporter from earlier ones. */
    std::uint64_t incarnation = 0;
    /** Increases with each report of the same incarnation. */
    std::uint64_t sequence = 0;
    /** True for a relay's sum over its row, sent to an owner; false for a
        host's own usage, sent to its relay. */
    bool from_relay = false;
    std::vector<usage_entry> entries;
};

/** The demand of one workspace over all hosts. */
struct demand_entry
{
    share_key key = 0;
    /** Weighted tokens offered per second at all hosts together. */
    double tokens_per_second = 0;
};

/** The demand, sent from an owner to a relay or a host, or from a relay to a
    host. */
struct demand_response
{
    /** Whether the response is for share_aggregator::answer(); otherwise it is
        for workspace_limits::answer(). */
    bool to_relay = false;
    std::vector<demand_entry> entries;
};

/** A report and the id of its receiver, which may be the sender. */
struct addressed_report
{
    std::string to;
    usage_report report;
};

/** A response and the id of its receiver, which may be the sender. */
struct addressed_response
{
    std::string to;
    demand_response answer;
};

/** Overhead of the transport per message. */
constexpr std::size_t share_transport_bytes = 60;

/** Return the size of a message in CBOR with integers as field names, without
    the transport overhead. */
std::size_t encoded_bytes(const usage_report& report);
std::size_t encoded_bytes(const demand_response& response);

} // namespace hibiscusferry

#endif
