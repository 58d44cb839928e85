#ifndef HIBISCUSFERRY_ROUTING_CONNECTIONS_CONNECTION_HEALTH_HPP
#define HIBISCUSFERRY_ROUTING_CONNECTIONS_CONNECTION_HEALTH_HPP

#include "foundation/foundation.hpp"
#include <chrono>

namespace hibiscusferry
{

/** Timing of the liveness checks of a connection. */
struct connection_limits
{
    /** An idle connection is probed after this silence. */
    std::chrono::milliseconds probe_after{2000};
    /** A probe must be answered, and a new connection beside a suspect one
        must work, within this time. */
    std::chrono::milliseconds response_timeout{1000};
    /** Silence within a stream, after its first token, that makes the
        connection suspect. Before it the request's own time limits hold. */
    std::chrono::milliseconds stream_idle_timeout{2000};
};

/** What the owner of a connection is to do now. */
enum class connection_action
{
    none,
    probe,                ///< send a cheap request (GET /v1/load) over it
    probe_new_connection, ///< open a new connection and send the probe over
                          ///< that
    replace, ///< close it, the target is well: use the new connection;
             ///< a stream is resumed over it
    mark_target_failed ///< close it; the new one does not work either: the
                       ///< target has failed
};

/** Decides whether a long-lived connection to a target still works.

    Something between the two ends may have lost track of a connection: it is
    silent for good while new ones work. An idle connection is probed; one
    that does not answer, or a stream that falls silent, is suspect, and a new
    connection is tried beside it before the target is blamed. An exchange
    that was abandoned before its answer was complete makes the connection
    unusable for others: its late answer must not meet the next request.

    Between a request and the first byte of its answer there is nothing to
    tell a slow target from a lost connection by; set SO_KEEPALIVE (2 s, 1 s,
    3 probes) and TCP_USER_TIMEOUT (5 s) on the socket for that.

    One for each connection. Used from one thread. Call tick() at next_tick().
*/
class connection_health
{
public:
    connection_health(const connection_limits& limits, time_point now);

    /** An exchange begins on the connection. */
    void exchange_started(time_point now);

    /** Bytes arrived. @param in_stream  parts of a streamed answer are now
        expected without long silences */
    void received(bool in_stream, time_point now);

    /** The exchange's or probe's answer is complete. */
    void exchange_finished(time_point now);

    /** The exchange was given up before its answer was complete. */
    void exchange_abandoned();

    /** The new connection tried beside this one answered, or did not. */
    void new_connection_probed(bool works, time_point now);

    /** What to do now. Each action is returned once. */
    connection_action tick(time_point now);

    /** When tick() next has something to decide. */
    time_point next_tick() const;

    /** Whether a new exchange may begin: idle, not suspect, no exchange was
        abandoned, and not silent for longer than the probe allows. */
    bool is_reusable(time_point now) const;

    /** Whether to close it as soon as nothing is read from it any more. */
    bool must_close() const;

private:
    enum class state
    {
        idle,
        probing,
        exchanging,
        streaming,
        suspect,
        spent
    };

    connection_limits limits_;
    state state_ = state::idle;
    time_point last_received_;
    time_point deadline_;
    /** Whether a suspect connection was within a stream. */
    bool was_streaming_ = false;
    bool beside_known_ = false;
    bool beside_works_ = false;
};

} // namespace hibiscusferry

#endif
