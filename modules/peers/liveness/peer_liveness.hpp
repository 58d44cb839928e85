#ifndef HIBISCUSFERRY_PEERS_LIVENESS_PEER_LIVENESS_HPP
#define HIBISCUSFERRY_PEERS_LIVENESS_PEER_LIVENESS_HPP

#include "foundation/foundation.hpp"
#include <chrono>
#include <optional>

// Private to the module: finds connections that have gone silent.

namespace hibiscusferry
{

/** What to do about a connection. */
enum class liveness_action
{
    none,
    probe,   ///< send a probe
    suspect, ///< the probe was not answered: open another connection beside
    give_up, ///< still nothing: close it
    close_idle
};

/** The times of one connection. */
struct liveness_limits
{
    std::chrono::milliseconds probe_after{2000};
    std::chrono::milliseconds probe_limit{2000};
    std::chrono::milliseconds idle_limit{60000};
};

/** Tells when a connection must be probed, is suspect, or is of no use.

    A connection that something was sent on must be answered by anything: the
    other side's next message, or the answer to a probe. A connection without
    traffic is not probed unless it is maintained, so that open connections
    cost nothing. No I/O and no clock.
*/
class peer_liveness
{
public:
    peer_liveness(const liveness_limits& limits, time_point now);

    /** Keeps the connection open and probed without messages. */
    void set_maintained(bool is_maintained);

    void message_sent(time_point now);
    void message_received(time_point now);
    void probe_answered(time_point now);

    /** What is due; probe and suspect come once for each silence. */
    liveness_action due(time_point now);

    bool is_suspect() const;

private:
    void heard(time_point now);
    bool wants_probe(time_point now) const;

    liveness_limits limits_;
    bool is_maintained_ = false;
    time_point last_heard_;
    time_point last_message_;
    /** The first message since anything was heard. */
    std::optional<time_point> unanswered_since_;
    std::optional<time_point> probed_at_;
    bool is_suspect_ = false;
};

} // namespace hibiscusferry

#endif
