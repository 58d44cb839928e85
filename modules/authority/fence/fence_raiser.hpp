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

/** Timing parameters for raising fencing numbers. */
struct fence_settings
{
    /** The delay before a request is repeated to a target that did not respond;
        doubled after each attempt. */
    std::chrono::milliseconds initial_retry_delay{250};
    std::chrono::milliseconds max_retry_delay{4000};
    /** How long decisions about the other targets are postponed by a target
        that does not respond. */
    std::chrono::milliseconds grace{10000};
};

/** A request to raise the fencing number at a target. */
struct raise_fence
{
    std::string target;
    std::uint64_t fencing_number = 0;
};

/** Raises a new lease holder's fencing number at all targets of the service.

    Until a target has confirmed the number, an order of the former holder can
    still take effect there. Such a target receives no orders and counts as
    unavailable. Decisions about the other targets wait for it only during the
    grace period, so that one unreachable target does not block the service.

    Targets that ignore fencing numbers must not be added.
*/
class fence_raiser
{
public:
    fence_raiser(std::uint64_t fencing_number, const fence_settings& settings,
                 time_point now);

    /** Sets the currently listed targets. State of targets that are no longer
        listed is discarded. */
    void set_targets(const std::vector<std::string>& targets, time_point now);

    /** Returns the requests to send now. Report the result of each with
        confirmed() or failed(). */
    std::vector<raise_fence> tick(time_point now);

    /** A target responded with the greatest fencing number it has received. */
    void confirmed(const std::string& target, std::uint64_t greatest_number);

    /** A target did not respond. */
    void failed(const std::string& target, time_point now);

    /** A target restarted and may have lost the fencing number. */
    void target_restarted(const std::string& target, time_point now);

    /** Returns true if the target rejects all orders of former holders. */
    bool is_raised(const std::string& target) const;

    /** Returns true if orders may be issued: all targets have confirmed, or the
        grace period has expired. A target that has not confirmed receives no
        orders in either case. */
    bool can_issue_orders(time_point now) const;

    /** Returns true if a target reported a greater fencing number, which means
        that the lease is lost. */
    bool is_superseded() const;

    /** The targets that have not confirmed the number, sorted by id. */
    std::vector<std::string> unconfirmed_targets() const;

private:
    struct target_progress
    {
        bool raised = false;
        bool in_flight = false;
        time_point next_attempt;
        std::chrono::milliseconds retry_delay{0};
    };

    std::uint64_t fencing_number_;
    fence_settings settings_;
    time_point started_;
    bool superseded_ = false;
    std::map<std::string, target_progress> targets_;
};

} // namespace hibiscusferry

#endif
