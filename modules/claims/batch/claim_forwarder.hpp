#ifndef HIBISCUSFERRY_CLAIMS_BATCH_CLAIM_FORWARDER_HPP
#define HIBISCUSFERRY_CLAIMS_BATCH_CLAIM_FORWARDER_HPP

#include "claims/batch/row_update.hpp"
#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace hibiscusferry
{

/** Requests that an update be sent to a batching host. The outcome is
    reported with forwarded_update_completed(). */
struct forward_update
{
    std::string host;
    row_update update;
};

/** Requests that an update be submitted to the claim_batcher of this host.
    The outcome is reported with local_update_completed(). */
struct submit_locally
{
    row_update update;
};

/** An action requested by the forwarder, or an outcome that it reports. */
using forward_action =
    std::variant<forward_update, submit_locally, update_outcome>;

/** Limits of a claim_forwarder. */
struct forward_limits
{
    /** Number of hosts that batch for all hosts; with 0, each host batches its
        own updates. */
    std::size_t batching_hosts = 8;
    /** Time after which an update without an outcome from its batching host
        is submitted locally. */
    std::chrono::milliseconds forward_timeout{500};
};

/** Forwards the updates of many hosts to a few batching hosts, so that each
    group commit contains many updates.

    The batching hosts are the entry hosts with the highest rendezvous
    weights. The row's key selects one of them, again by rendezvous hashing.
    If the selected host does not report an outcome in time, the same change
    is submitted locally under a new id. Both are conditional on the same
    version, so at most one of them takes effect.
*/
class claim_forwarder
{
public:
    claim_forwarder(std::string own_host, const forward_limits& limits);

    /** Sets the entry hosts that are considered available, including this
        host. */
    void hosts_changed(const std::vector<std::string>& hosts);

    /** Forwards an update, or submits it locally if this host batches it. */
    std::vector<forward_action> submit(row_update update, time_point now);

    /** Processes the outcome of a forwarded update. It is ignored if the
        update has already been submitted locally. */
    std::vector<forward_action>
    forwarded_update_completed(const update_outcome& outcome);

    /** Processes the outcome of an update that was submitted locally. */
    std::vector<forward_action> local_update_completed(update_outcome outcome);

    /** Submits updates locally whose batching host has timed out. */
    std::vector<forward_action> tick(time_point now);

    /** @returns the time of the next call of tick(); max() if none is needed
     */
    time_point next_wake() const;

    /** @returns the number of updates without an outcome */
    std::size_t updates_in_flight() const;

private:
    struct forwarded_update
    {
        row_update update;
        time_point fallback_time;
    };

    const std::string& batching_host(const std::string& row_key) const;

    std::string own_host_;
    forward_limits limits_;
    std::vector<std::string> batching_hosts_;
    std::map<std::string, forwarded_update> forwarded_;
    /** Original ids of updates submitted locally, by their new ids. */
    std::map<std::string, std::string> fallback_ids_;
};

} // namespace hibiscusferry

#endif
