#ifndef HIBISCUSFERRY_SERVING_CATALOGUE_TARGET_CATALOGUE_HPP
#define HIBISCUSFERRY_SERVING_CATALOGUE_TARGET_CATALOGUE_HPP

#include "foundation/foundation.hpp"
#include "serving/model/target_record.hpp"
#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hibiscusferry
{

/** What became of a target. */
struct target_change
{
    enum class kind
    {
        joined,
        updated,
        restarted, ///< a new life under the same id
        leaving,   ///< finishes what it has; gets no new work
        left       ///< not to be used any more
    };
    kind what = kind::joined;
    target_record record;
};

/** Which targets there are, from their rows in the table service.

    A row that disappears takes its target out at once, but for one case:
    rows that expired because their writers could not reach the store. After
    an outage a missing target is used for a grace, within which a living one
    has registered itself again. A target once seen leaving never comes back
    in the same life.
*/
class target_catalogue
{
public:
    /** @param outage_grace  time after the store's return within which rows
                             that expired during the outage are back */
    explicit target_catalogue(std::chrono::milliseconds outage_grace);

    /** A row was written, or is part of a snapshot. */
    std::vector<target_change> put(const target_record& record);

    /** A row is gone. */
    std::vector<target_change> remove(const std::string& id, time_point now);

    /** A row holds what names no target: as if it were gone. */
    std::vector<target_change> mark_unreadable(const std::string& id,
                                               time_point now);

    /** All rows as of one moment; those missing are gone. */
    std::vector<target_change>
    replace_all(const std::vector<target_record>& records, time_point now);

    /** The store answers again after it did not. */
    void store_recovered(time_point now);

    /** The store does not answer. */
    void store_lost();

    /** Ends the graces that are over. To be called about every 100 ms. */
    std::vector<target_change> tick(time_point now);

    const std::map<std::string, target_record>& targets() const;

private:
    void drop(const std::string& id, std::vector<target_change>& changes);

    std::chrono::milliseconds outage_grace_;
    std::map<std::string, target_record> targets_;
    /** Targets whose rows are missing since an outage. */
    std::map<std::string, time_point> missing_until_;
    bool is_store_lost_ = false;
    std::optional<time_point> returned_at_;
};

} // namespace hibiscusferry

#endif
