#ifndef HIBISCUSFERRY_AUTHORITY_FENCE_FENCE_RAISER_HPP
#define HIBISCUSFERRY_AUTHORITY_FENCE_FENCE_RAISER_HPP

#include "foundation/foundation.hpp"
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace hibiscusferry
{

/** Times of raising fences. */
struct fence_settings
{
    /** Time before a target without an answer is asked again; doubled with
        each attempt. */
    std::chrono::milliseconds first_retry{250};
    std::chrono::milliseconds longest_retry{4000};
    /** How long decisions on the other targets wait for one that does not
        answer. */
    std::chrono::milliseconds grace{10000};
};

/** A fencing number to be raised at a target. */
struct raise_fence
{
    std::string target;
    std::uint64_t fencing_number = 0;
};

/** Raises a new holder's fencing number at every target it answers for.

    Until a target has confirmed the number, an order of the former holder
    can still take effect there. Such a target gets no order, and counts as
    away. Decisions on the others wait for it only for the grace, so that one
    target that is cut off does not hold up the service.

    For targets that ignore fencing numbers there is nothing to raise; do not
    add them.
*/
class fence_raiser
{
public:
    fence_raiser(std::uint64_t fencing_number, const fence_settings& settings,
                 time_point now);

    /** The targets as listed now; those not listed any more are forgotten. */
    void set_targets(const std::vector<std::string>& targets, time_point now);

    /** The numbers to raise now; answer each with confirmed() or failed(). */
    std::vector<raise_fence> tick(time_point now);

    /** A target answered with the greatest number that it has seen. */
    void confirmed(const std::string& target, std::uint64_t greatest);

    /** A target did not answer. */
    void failed(const std::string& target, time_point now);

    /** A target restarted and may have forgotten the number. */
    void target_restarted(const std::string& target, time_point now);

    /** Whether the target refuses all orders of former holders. */
    bool is_raised(const std::string& target) const;

    /** Whether decisions may begin: all targets confirmed, or the grace is
        over. A target that is not raised gets no order even so. */
    bool can_issue_orders(time_point now) const;

    /** Whether a target knows a greater number: the lease is lost. */
    bool is_superseded() const;

    /** Targets that have not confirmed, in order of id. */
    std::vector<std::string> unconfirmed_targets() const;

private:
    struct progress
    {
        bool raised = false;
        bool in_flight = false;
        time_point next_attempt;
        std::chrono::milliseconds retry{0};
    };

    std::uint64_t fencing_number_;
    fence_settings settings_;
    time_point started_;
    bool superseded_ = false;
    std::map<std::string, progress> targets_;
};

} // namespace hibiscusferry

#endif
