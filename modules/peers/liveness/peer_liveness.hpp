#ifndef HIBISCUSFERRY_PEERS_LIVENESS_PEER_LIVENESS_HPP
#define HIBISCUSFERRY_PEERS_LIVENESS_PEER_LIVENESS_HPP

#include "foundation/foundation.hpp"
#include <chrono>
#include <optional>

// Private to the module: detection of unresponsive connections.

namespace hibiscusferry
{

/** The action that a connection requires. */
enum class liveness_action
{
    none,
    probe,              ///< send a probe
    suspect,            ///< no response to the probe: open another connection
    close_unresponsive, ///< still no response: close the connection
    close_idle ///< no messages for the idle timeout: close the connection
};

/** The timeouts of a connection, as described in peer_settings. */
struct liveness_timeouts
{
    std::chrono::milliseconds probe_delay{2000};
    std::chrono::milliseconds probe_timeout{2000};
    std::chrono::milliseconds idle_timeout{60000};
};

/** Decides when a connection must be probed, suspected or closed.

    After a message has been sent, the remote side must show that it is alive
    by sending a message or the response to a probe. A connection without
    traffic is not probed unless it is maintained, so that idle connections
    cause no traffic. The class performs no I/O and reads no clock.
*/
class peer_liveness
{
public:
    peer_liveness(const liveness_timeouts& timeouts, time_point now);

    /** Sets whether the connection is kept open and probed while idle. */
    void set_maintained(bool is_maintained);

    void message_sent(time_point now);
    void message_received(time_point now);
    void probe_response_received(time_point now);

    /** Returns the action that is due now. `probe` and `suspect` are returned
        only once until something is received again. */
    liveness_action next_action(time_point now);

    bool is_suspect() const;

private:
    void record_activity(time_point now);
    bool is_probe_due(time_point now) const;

    liveness_timeouts timeouts_;
    bool is_maintained_ = false;
    time_point last_received_;
    time_point last_message_;
    /** When the first message was sent after the last receipt. */
    std::optional<time_point> awaiting_response_since_;
    std::optional<time_point> probe_sent_at_;
    bool is_suspect_ = false;
};

} // namespace hibiscusferry

#endif
