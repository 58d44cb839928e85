#ifndef HIBISCUSFERRY_SHARING_RELAY_RELAY_SELECTOR_HPP
#define HIBISCUSFERRY_SHARING_RELAY_RELAY_SELECTOR_HPP

#include "foundation/foundation.hpp"
#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hibiscusferry
{

/** Times of the choice of a relay. */
struct relay_selector_settings
{
    /** A relay that did not answer for this long is passed over. */
    std::chrono::milliseconds answer_limit{300};
    /** Until one that was passed over is tried again; doubles with each
        failure in a row. */
    std::chrono::milliseconds retry_after{1000};
    std::chrono::milliseconds longest_retry_after{8000};
};

/** Whom a host reports to: the first fit host of a line that all hosts of an
    availability zone agree on.

    A relay that does not answer, or whose news are too old to be of use, is
    passed over for a while. A host that finds itself the first fit one is the
    zone's relay. Hosts that differ in what they see may follow different
    relays for a time; no decision depends on there being one.
*/
class relay_selector
{
public:
    /** @param self  this host's name; empty for the line of another zone */
    relay_selector(std::string self, const relay_selector_settings& settings);

    /** The hosts of the zone, the first choice first. */
    void set_candidates(std::vector<std::string> line, time_point now);

    /** Whom to report to now; none if this host is the relay, or if nobody
        else is there. */
    std::optional<std::string> relay(time_point now);

    /** Whether this host is the relay of its zone. */
    bool is_relay(time_point now);

    /** A host answered.
        @param is_fit  whether its answer is of use */
    void answered(const std::string& host, bool is_fit, time_point now);

    /** Whether this host is fit to be a relay: the table service answers
        it. */
    void set_self_eligible(bool is_fit);

private:
    /** A host that is not to be reported to for a while. */
    struct pause
    {
        time_point until{};
        std::chrono::milliseconds length{0};
    };

    bool is_passed_over(const std::string& host, time_point now) const;
    void pass_over(const std::string& host, time_point now);
    void choose(time_point now);

    std::string self_;
    relay_selector_settings settings_;
    std::vector<std::string> line_;
    bool is_self_fit_ = true;
    /** Empty for none. */
    std::string chosen_;
    /** When the chosen relay last answered, or was chosen. */
    time_point heard_at_{};
    std::map<std::string, pause> pauses_;
};

} // namespace hibiscusferry

#endif
