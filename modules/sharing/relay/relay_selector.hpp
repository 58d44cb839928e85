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

/** Time limits that govern the selection of a relay. */
struct relay_selector_settings
{
    /** A relay that has sent no response for this long is excluded. */
    std::chrono::milliseconds response_timeout{300};
    /** Time until an excluded relay becomes a candidate again; doubles with
        each consecutive failure. */
    std::chrono::milliseconds retry_delay{1000};
    /** Upper bound of the doubled retry delay. */
    std::chrono::milliseconds max_retry_delay{8000};
    /** A host remains a relay for this long after the last report of another
        host. */
    std::chrono::milliseconds report_lifetime{1000};
};

/** Selects the relay that a host reports to: the first eligible host in an
    order of candidates that all hosts of an availability zone share.

    A relay that does not respond, or whose state is too old to be useful, is
    excluded for a while. The host that finds itself to be the first eligible
    candidate acts as the relay of its zone. So does a host that others have
    selected, if it is eligible itself. A host that is not a relay does not read
    the store, so that hosts that followed it could follow each other in a
    circle; it is therefore excluded as well. Hosts with different local views
    may follow different relays for a time; no decision relies on there being
    exactly one.
*/
class relay_selector
{
public:
    /** @param self  the name of this host; empty when the relay of another
                     zone is selected */
    relay_selector(std::string self, const relay_selector_settings& settings);

    /** Sets the hosts of the zone in order of preference. */
    void set_candidates(std::vector<std::string> candidates, time_point now);

    /** The host to report to; none if this host is the relay or if no other
        host is eligible. */
    std::optional<std::string> relay(time_point now);

    /** Whether this host is the relay of its zone. */
    bool is_relay(time_point now);

    /** Records that another host has selected this one as its relay. */
    void record_report(time_point now);

    /** Records a response of a host.
        @param is_eligible  whether the host is a relay and its state is recent
                            enough */
    void record_response(const std::string& host, bool is_eligible,
                         time_point now);

    /** Sets whether this host may act as the relay, for which the table service
        has to respond to it. */
    void set_self_eligible(bool is_eligible);

private:
    /** The exclusion of a host after a failure. */
    struct retry_backoff
    {
        time_point until{};
        std::chrono::milliseconds delay{0};
    };

    bool is_excluded(const std::string& host, time_point now) const;
    void exclude(const std::string& host, time_point now);
    void select(time_point now);

    std::string self_;
    relay_selector_settings settings_;
    std::vector<std::string> candidates_;
    bool is_self_eligible_ = true;
    /** When another host last reported to this one. */
    std::optional<time_point> last_report_at_;
    /** The selected relay; empty for none. */
    std::string selected_;
    /** When the relay last responded, or was selected if that is later. */
    time_point last_response_at_{};
    std::map<std::string, retry_backoff> backoffs_;
};

} // namespace hibiscusferry

#endif
