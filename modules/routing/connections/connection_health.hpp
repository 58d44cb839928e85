#ifndef HIBISCUSFERRY_ROUTING_CONNECTIONS_CONNECTION_HEALTH_HPP
#define HIBISCUSFERRY_ROUTING_CONNECTIONS_CONNECTION_HEALTH_HPP

#include "foundation/foundation.hpp"
#include <chrono>

namespace hibiscusferry
{

/** Timeouts of the liveness checks of a connection. */
struct connection_limits
{
    /** An idle connection is probed after this time without data. */
    std::chrono::milliseconds probe_after{2000};
    /** The timeout of a probe, and of the probe over a new connection when this
        one is suspected. */
    std::chrono::milliseconds response_timeout{1000};
    /** After its first token, a stream without data for this time makes the
        connection suspected. Until then the request's own timeouts apply. */
    std::chrono::milliseconds stream_idle_timeout{2000};
};

/** The action that the owner of a connection has to perform. */
enum class connection_action
{
    none,
    probe, ///< send a cheap request (GET /v1/load) over the connection
    probe_new_connection, ///< open a new connection and send the probe over it
    replace, ///< close the connection, continue with the new one and resume the
             ///< stream over it; the target is healthy
    mark_target_failed ///< close the connection; the new one failed too, so the
                       ///< target has failed
};

/** Determines whether a long-lived connection to a target still works.

    A device between the two ends may lose its state of a connection, which then
    stays silent although new connections work. An idle connection is therefore
    probed. If it does not respond, or if a stream stops, the connection is
    suspected, and a new connection is probed before the target is considered
    failed. An exchange that was abandoned before its response was complete
    makes the connection unusable, because the late response could be taken for
    that of the next request.

    Between a request and the first byte of its response, a slow target cannot
    be distinguished from a lost connection. Set SO_KEEPALIVE (2 s, 1 s, 3
    probes) and TCP_USER_TIMEOUT (5 s) on the socket to detect a lost
    connection.

    One object per connection, to be used from a single thread. Call tick() at
    next_tick().
*/
class connection_health
{
public:
    connection_health(const connection_limits& limits, time_point now);

    /** An exchange begins on the connection. */
    void exchange_started(time_point now);

    /** Data was received.

        @param in_stream whether a streamed response is being received, in which
            long pauses are not expected
    */
    void received(bool in_stream, time_point now);

    /** The response of the exchange or probe is complete. */
    void exchange_finished(time_point now);

    /** The exchange was abandoned before its response was complete. */
    void exchange_abandoned();

    /** The probe over a new connection completed.

        @param works whether the new connection responded
    */
    void new_connection_probed(bool works, time_point now);

    /** Returns the action to perform now. Each action is returned once. */
    connection_action tick(time_point now);

    /** The next time at which tick() has to be called. */
    time_point next_tick() const;

    /** Returns true if a new exchange may begin: the connection is idle, not
        suspected, has no abandoned exchange, and has received data within the
        time that probing allows. */
    bool is_reusable(time_point now) const;

    /** Returns true if the connection has to be closed once no more data is
        read from it. */
    bool must_close() const;

private:
    enum class state
    {
        idle,
        probing,
        exchanging,
        streaming,
        suspect,
        unusable
    };

    connection_limits limits_;
    state state_ = state::idle;
    time_point last_received_;
    time_point deadline_;
    /** Whether the connection became suspected while receiving a stream. */
    bool was_streaming_ = false;
    bool has_probe_result_ = false;
    bool new_connection_works_ = false;
};

} // namespace hibiscusferry

#endif
