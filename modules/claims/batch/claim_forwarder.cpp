#include "claims/batch/claim_forwarder.hpp"

#include "claims/settled_write/row_stamp.hpp"
#include <algorithm>
#include <utility>

namespace hibiscusferry
{

namespace
{

/** Key of the rendezvous hash that selects the batching hosts. */
constexpr const char* batching_role = "claim-batching";

/** @returns the same change with a new id, also in its stamp */
row_update with_new_id(row_update update, const std::string& id)
{
    const row_stamp stamp = row_stamp::parse(update.value);
    update.value = row_stamp::successor(update.previous, id, stamp.payload);
    update.id = id;
    update.may_be_in_flight = true;
    return update;
}

} // namespace

claim_forwarder::claim_forwarder(std::string own_host,
                                 const forward_limits& limits)
    : own_host_(std::move(own_host))
    , limits_(limits)
{
}

void claim_forwarder::hosts_changed(const std::vector<std::string>& hosts)
{
    const std::uint64_t role = stable_hash(batching_role);
    batching_hosts_ = hosts;
    std::sort(batching_hosts_.begin(), batching_hosts_.end(),
              [role](const std::string& left, const std::string& right)
              {
                  return rendezvous_weight(role, stable_hash(left)) >
                         rendezvous_weight(role, stable_hash(right));
              });
    if (batching_hosts_.size() > limits_.batching_hosts)
        batching_hosts_.resize(limits_.batching_hosts);
}

const std::string&
claim_forwarder::batching_host(const std::string& row_key) const
{
    const std::uint64_t key = stable_hash(row_key);
    const std::string* best = &own_host_;
    std::uint64_t best_weight = 0;
    for (const std::string& host : batching_hosts_)
    {
        const std::uint64_t weight = rendezvous_weight(key, stable_hash(host));
        if (weight < best_weight)
            continue;
        best = &host;
        best_weight = weight;
    }
    return *best;
}

std::vector<forward_action> claim_forwarder::submit(row_update update,
                                                    time_point now)
{
    const std::string& host = batching_host(update.key);
    std::vector<forward_action> next_actions;
    if (host == own_host_)
    {
        next_actions.emplace_back(submit_locally{std::move(update)});
        return next_actions;
    }
    const std::string id = update.id;
    next_actions.emplace_back(forward_update{host, update});
    forwarded_[id] = {std::move(update), now + limits_.forward_timeout};
    return next_actions;
}

std::vector<forward_action>
claim_forwarder::forwarded_update_completed(const update_outcome& outcome)
{
    if (forwarded_.erase(outcome.id) == 0)
        return {};
    return {outcome};
}

std::vector<forward_action>
claim_forwarder::local_update_completed(update_outcome outcome)
{
    const auto fallback = fallback_ids_.find(outcome.id);
    if (fallback != fallback_ids_.end())
    {
        outcome.id = fallback->second;
        fallback_ids_.erase(fallback);
        // The batching host may have committed the update first.
        const row_stamp stamp = row_stamp::parse(outcome.present.value);
        if (outcome.result == update_result::conflicted &&
            stamp.contains_update(outcome.id))
        {
            outcome.result = update_result::committed;
            outcome.version = stamp.is_newest_update(outcome.id)
                                  ? outcome.present.version
                                  : 0;
        }
    }
    return {outcome};
}

std::vector<forward_action> claim_forwarder::tick(time_point now)
{
    std::vector<forward_action> next_actions;
    for (auto entry = forwarded_.begin(); entry != forwarded_.end();)
    {
        if (entry->second.fallback_time > now)
        {
            ++entry;
            continue;
        }
        const std::string id = entry->first + "/local";
        fallback_ids_[id] = entry->first;
        next_actions.emplace_back(
            submit_locally{with_new_id(std::move(entry->second.update), id)});
        entry = forwarded_.erase(entry);
    }
    return next_actions;
}

time_point claim_forwarder::next_wake() const
{
    time_point wake = time_point::max();
    for (const std::pair<const std::string, forwarded_update>& entry :
         forwarded_)
        wake = std::min(wake, entry.second.fallback_time);
    return wake;
}

std::size_t claim_forwarder::updates_in_flight() const
{
    return forwarded_.size() + fallback_ids_.size();
}

} // namespace hibiscusferry
