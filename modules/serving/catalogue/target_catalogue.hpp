#ifndef HIBISCUSFERRY_SERVING_CATALOGUE_TARGET_CATALOGUE_HPP
#define HIBISCUSFERRY_SERVING_CATALOGUE_TARGET_CATALOGUE_HPP

#include "foundation/foundation.hpp"
#include "serving/model/target_record.hpp"
#include <chrono>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hibiscusferry
{

/** A change of one target, derived from its table row. */
struct target_change
{
    enum class kind
    {
        joined,
        updated,
        restarted, ///< a new incarnation under the same id
        draining,  ///< completes its requests, accepts no new ones
        removed    ///< must not be used any more
    };
    kind type = kind::joined;
    target_record record;
};

/** The set of known targets, built from their rows in the table service.

    A target is removed as soon as its row disappears, with one exception: rows
    also expire when their targets cannot reach the store to renew them. A
    target whose row is missing after a store outage is therefore kept for a
    grace period, within which every running target registers again. A target
    that has started draining stays so for the rest of its incarnation, even if
    a later row says otherwise, or its row disappears and returns, as happens
    when the store is restored from an older copy.
*/
class target_catalogue
{
public:
    /** @param outage_grace_period  time after the store's recovery within which
                                    rows that expired during the outage are
                                    expected to be written again */
    explicit target_catalogue(std::chrono::milliseconds outage_grace_period);

    /** Applies a row that was written or is part of a snapshot.
        @returns the resulting changes, empty if the row changes nothing */
    std::vector<target_change> put(const target_record& record);

    /** Records that a target has announced in a response that it is leaving.
        @param started_at  the incarnation that responded */
    std::vector<target_change>
    mark_leaving(const std::string& id, std::chrono::milliseconds started_at);

    /** Applies the removal of a row. */
    std::vector<target_change> remove(const std::string& id, time_point now);

    /** Removes a target whose row cannot be parsed. The row exists, so unlike a
        missing one it has not expired during an outage. */
    std::vector<target_change> mark_unreadable(const std::string& id);

    /** Applies a consistent snapshot of all rows; targets without a row in it
        are treated as removed. */
    std::vector<target_change>
    replace_all(const std::vector<target_record>& records, time_point now);

    /** Records that the store responds again and starts the grace period of
        all missing targets. */
    void store_recovered(time_point now);

    /** Records that the store does not respond. */
    void store_lost();

    /** Removes targets whose grace period has ended. Must be called about
        every 100 ms. */
    std::vector<target_change> tick(time_point now);

    const std::map<std::string, target_record>& targets() const;

private:
    void erase_target(const std::string& id,
                      std::vector<target_change>& changes);

    std::chrono::milliseconds outage_grace_period_;
    std::map<std::string, target_record> targets_;
    /** The incarnations of removed targets that were draining, and their ids in
        the order of removal. */
    std::map<std::string, std::chrono::milliseconds> departed_;
    std::deque<std::string> departed_ids_;
    /** The time at which each target whose row expired during a store outage
        is removed. */
    std::map<std::string, time_point> removal_times_;
    bool is_store_lost_ = false;
    std::optional<time_point> store_recovered_at_;
};

} // namespace hibiscusferry

#endif
