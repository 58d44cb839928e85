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

/** Counts the holder's own role changes as in effect until they are seen in
    a report, have failed, or can no longer be on their way.

    Reports lag, so a policy that reads only them orders the same change
    again. The idea is the expectations of the Kubernetes controllers
    ("Expectations: How a Controller Waits for Its Own Writes to Come Back").
    Two things differ: other decisions go on meanwhile, with the expected
    role in place of the reported one; and the expiry is no constant but
    follows from the order's deadline and the lag observed in reports.
    Entries are keyed by engine id, which is never used twice.
*/
class change_expectations
{
public:
    /** A change was asked for or has started; raises the expectation.
        @param deadline  when the order is given up at the latest */
    void expect(const std::string& engine, engine_role to, time_point deadline,
                time_point now);

    /** The change has taken effect; reports may not show it yet. */
    void on_finished(const std::string& engine, time_point now);

    /** The change will not take effect. */
    void withdraw(const std::string& engine);

    /** The engine is gone for good. */
    void forget(const std::string& engine);

    /** Learns the lag and lowers the expectation that the report meets, or
        that it refutes: one taken after the change had finished that shows
        another role. */
    void on_report(const engine_report& report, time_point now);

    /** Drops expectations that can no longer be met.
        @returns the engines concerned */
    std::vector<std::string> expire(time_point now);

    /** The role an engine is expected to come to, if any. */
    std::optional<engine_role> expected_role(const std::string& engine) const;

    std::size_t size() const;

    /** A decaying maximum of how old reports were when they arrived. */
    std::chrono::nanoseconds observed_lag() const;

private:
    struct expectation
    {
        engine_role to = engine_role::mixed;
        time_point raised_at;
        /** Whether the change has taken effect, and since when. */
        std::optional<time_point> finished_at;
        time_point deadline;
    };

    std::chrono::nanoseconds report_allowance() const;

    std::map<std::string, expectation> pending_;
    std::chrono::nanoseconds lag_{0};
    /** A decaying maximum of the time between an engine's reports. */
    std::chrono::nanoseconds gap_{0};
    std::map<std::string, time_point> reported_at_;
};

} // namespace hibiscusferry

#endif
