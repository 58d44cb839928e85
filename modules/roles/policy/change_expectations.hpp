#ifndef HIBISCUSFERRY_ROLES_POLICY_CHANGE_EXPECTATIONS_HPP
#define HIBISCUSFERRY_ROLES_POLICY_CHANGE_EXPECTATIONS_HPP

#include "foundation/foundation.hpp"
#include "roles/model/engine_report.hpp"
#include "roles/model/engine_role.hpp"
#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hibiscusferry
{

/** Treats ordered role changes as effective until a report confirms them, they
    fail, or they expire.

    Reports are delayed, so a policy that relies on reports alone would order
    the same change again. The approach follows the expectations of the
    Kubernetes controllers ("Expectations: How a Controller Waits for Its Own
    Writes to Come Back"), with two differences. Other decisions continue while
    an expectation is outstanding, using the expected role in place of the
    reported one. The expiry is not a constant, but is derived from the
    deadline of the order and the observed age of reports. Entries are keyed by
    engine ID, which is never reused.
*/
class change_expectations
{
public:
    /** Adds an expectation for a change that was requested or has started.
        @param deadline  the deadline of the order */
    void expect(const std::string& engine, engine_role to, time_point deadline,
                time_point now);

    /** Records that the change took effect. Reports may not show it yet. */
    void on_finished(const std::string& engine, time_point now);

    /** Removes the expectation of a change that will not take effect. */
    void withdraw(const std::string& engine);

    /** Removes all state of an engine that will not return. */
    void remove_engine(const std::string& engine);

    /** Updates the observed report age and removes the engine's expectation if
        the report confirms or contradicts it. A report contradicts it if it
        was measured after the change finished and shows another role. */
    void on_report(const engine_report& report, time_point now);

    /** Removes expectations that can no longer be confirmed.
        @returns the affected engines */
    std::vector<std::string> expire(time_point now);

    /** The role that an ordered change will give the engine, if a change is
        outstanding. */
    std::optional<engine_role> expected_role(const std::string& engine) const;

    std::size_t size() const;

    /** The decaying maximum of the age of reports on receipt. */
    std::chrono::nanoseconds max_report_age() const;

private:
    struct expectation
    {
        engine_role to = engine_role::mixed;
        time_point created_at;
        /** The time at which the change took effect; empty until then. */
        std::optional<time_point> finished_at;
        time_point deadline;
    };

    std::chrono::nanoseconds report_grace_period() const;

    std::map<std::string, expectation> expectations_;
    std::chrono::nanoseconds max_report_age_{0};
    /** The decaying maximum of the interval between two reports of an
        engine. */
    std::chrono::nanoseconds max_report_interval_{0};
    std::map<std::string, time_point> last_report_times_;
};

} // namespace hibiscusferry

#endif
