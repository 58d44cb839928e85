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

/** Asks for an update to be sent to a batching host, whose outcome comes
    back with forward_answered(). */
struct forward_update
{
    std::string host;
    row_update update;
};

/** Asks for an update to go into this host's own claim_batcher, whose
    outcome comes back with local_answered(). */
struct submit_locally
{
    row_update update;
};

/** What the forwarder wants done, or tells. */
using forward_action =
    std::variant<forward_update, submit_locally, update_outcome>;

/** Limits of a claim_forwarder. */
struct forward_limits
{
    /** Hosts that batch for all others; 0: every host for itself. */
    std::size_t batching_hosts = 8;
    /** How long a batching host may take before the update is done here. */
    std::chrono::milliseconds time_limit{500};
};

/** Brings the updates of many hosts together at a few batching hosts, so
    that group commit has something to group.

    The batching hosts are the entry hosts with the greatest rendezvous
    weights; among them the row's key chooses. When the chosen host does not
    answer in time, the same change is done here under a new id: both are
    conditional on the same version, so at most one takes effect.
*/
class claim_forwarder
{
public:
    claim_forwarder(std::string own_host, const forward_limits& limits);

    /** The entry hosts believed up, this one included. */
    void hosts_changed(const std::vector<std::string>& hosts);

    /** Takes an update in. */
    std::vector<forward_action> submit(row_update update, time_point now);

    /** The outcome of a forwarded update; late ones are ignored. */
    std::vector<forward_action> forward_answered(const update_outcome& outcome);

    /** The outcome of an update done here. */
    std::vector<forward_action> local_answered(update_outcome outcome);

    /** Falls back for updates whose batching host took too long. */
    std::vector<forward_action> tick(time_point now);

    /** When tick() should be called next; max() when nothing is due. */
    time_point next_wake() const;

    /** Updates without an outcome. */
    std::size_t open_updates() const;

private:
    struct forwarded
    {
        row_update update;
        time_point give_up_at;
    };

    const std::string& batching_host(const std::string& row_key) const;

    std::string own_host_;
    forward_limits limits_;
    std::vector<std::string> batching_hosts_;
    std::map<std::string, forwarded> forwarded_;
    /** Original ids of updates that are done here under a new one. */
    std::map<std::string, std::string> fallback_ids_;
};

} // namespace hibiscusferry

#endif
