#ifndef HIBISCUSFERRY_SERVING_CATALOGUE_SOFTWARE_VERSION_HISTORY_HPP
#define HIBISCUSFERRY_SERVING_CATALOGUE_SOFTWARE_VERSION_HISTORY_HPP

#include "foundation/foundation.hpp"
#include "serving/catalogue/target_catalogue.hpp"
#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace hibiscusferry
{

/** The software versions that the targets of each service have had since this
    process started.

    Answers at which version a stream of unknown origin must have begun: if a
    service had a single version for longer than a stream lasts, at that one.
    Times during which the list of targets was not received count as unknown.
*/
class software_version_history
{
public:
    /** @param max_list_age  age up to which a list of targets counts as
                             complete, on this host and on the others */
    explicit software_version_history(std::chrono::milliseconds max_list_age);

    /** Records a change of the catalogue. */
    void apply(const target_change& change, time_point now);

    /** Records that the list of targets was complete at a time. */
    void confirm_list(time_point as_of);

    /** Starts the observation anew: targets may be missing from the list. */
    void restart_observation();

    /** The time as of which the list of targets was last known to be complete;
        none if it never was. */
    std::optional<time_point> list_confirmed_at() const;

    /** Returns the only software version at which a stream of a service can
        have begun. None if there were several, if this host has not observed
        the service for long enough, or if the list of targets is not known as
        of `begun_by` or later: a target may have joined since, and be known to
        the host that began the stream.
        @param stream_duration  how long a stream may last; the observation must
                                be longer by the time that other hosts may take
                                to notice a change
        @param begun_by         a time at which the stream had begun */
    std::optional<std::string>
    only_version(const std::string& service,
                 std::chrono::milliseconds stream_duration,
                 time_point begun_by) const;

    /** Returns what only_version() will return if the list turns out not to
        have changed up to `begun_by`. */
    std::optional<std::string>
    expected_version(const std::string& service,
                     std::chrono::milliseconds stream_duration,
                     time_point begun_by) const;

private:
    /** The targets of one version of one service. */
    struct version_usage
    {
        std::set<std::string> targets;
        /** When the last target was removed. */
        time_point last_used_at{};
    };

    struct version_key
    {
        std::string service;
        std::string version;
    };

    void remove(const std::string& id, time_point now);

    std::chrono::milliseconds max_list_age_;
    /** By service and version. */
    std::map<std::string, std::map<std::string, version_usage>> usages_;
    std::map<std::string, version_key> keys_by_target_;
    /** The start of the time during which the list was known without a gap. */
    std::optional<time_point> observed_since_;
    time_point list_confirmed_at_{};
};

} // namespace hibiscusferry

#endif
