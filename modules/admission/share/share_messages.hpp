#ifndef HIBISCUSFERRY_ADMISSION_SHARE_SHARE_MESSAGES_HPP
#define HIBISCUSFERRY_ADMISSION_SHARE_SHARE_MESSAGES_HPP

#include "admission/queue/queued_request.hpp"
#include "foundation/foundation.hpp"
#include <cstdint>
#include <string>
#include <vector>

namespace hibiscusferry
{

/** Names one limit of one customer of one service on every host. */
using share_key = std::uint64_t;

/** The key of a customer's limit on its urgent or on all of its work. */
share_key share_key_of(const std::string& service, const std::string& customer,
                       queue_lane lane);

/** The home of a limit: the host that sums its usage, by rendezvous hashing
    over the live hosts. @returns an index into `host_hashes`, which must not
    be empty; the stable_hash of each host's id */
std::size_t home_of(share_key key,
                    const std::vector<std::uint64_t>& host_hashes);

/** How much one customer has offered at one host. */
struct usage_entry
{
    share_key key = 0;
    /** Weighted tokens offered since the reporter began to count. */
    std::uint64_t offered = 0;
    /** `offered` of the previous report of this key: what a new home takes
        the growth from. */
    std::uint64_t previously_offered = 0;
    /** The reporter needs to know the demand over all hosts. */
    bool wants_answer = false;
};

/** From a host to a home. Reports may be lost, repeated and reordered. */
struct usage_report
{
    /** The reporter's host id. */
    std::string host;
    /** Tells the counts of a restarted reporter from those before. */
    std::uint64_t incarnation = 0;
    /** Grows with each report of the incarnation to any home. */
    std::uint64_t sequence = 0;
    std::vector<usage_entry> entries;
};

/** The demand of one customer over all hosts. */
struct demand_entry
{
    share_key key = 0;
    /** Weighted tokens a second, offered at all hosts together. */
    double tokens_per_second = 0;
};

/** From a home to a host. */
struct demand_answer
{
    /** The home's host id. */
    std::string home;
    std::vector<demand_entry> entries;
};

/** An answer and the host it goes to. */
struct addressed_answer
{
    std::string host;
    demand_answer answer;
};

/** A report and the host it goes to, as an index into the live hosts. */
struct addressed_report
{
    std::size_t home = 0;
    usage_report report;
};

/** The bytes of a message in CBOR with integers for names; for budgets. */
std::size_t encoded_bytes(const usage_report& report);
std::size_t encoded_bytes(const demand_answer& answer);

} // namespace hibiscusferry

#endif
