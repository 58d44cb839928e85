#ifndef HIBISCUSFERRY_HTTP_SERVER_SHEDDING_POLICY_HPP
#define HIBISCUSFERRY_HTTP_SERVER_SHEDDING_POLICY_HPP

#include "foundation/foundation.hpp"
#include <cstddef>
#include <optional>
#include <vector>

namespace hibiscusferry
{

/** What a connection of a client is doing. */
enum class connection_phase
{
    idle,      ///< no byte of a request has arrived
    receiving, ///< a request arrives
    handling,  ///< a request is handled
    responding ///< a response is written
};

/** How fast a client makes progress. */
struct connection_progress
{
    connection_phase phase = connection_phase::idle;
    /** Bytes received or written since `begun_at`. */
    std::size_t transferred_bytes = 0;
    /** When the phase began. */
    time_point begun_at{};
    time_point last_progress_at{};
};

/** Selects the connection that is dropped when memory or descriptors are short.

    Addresses clients that send or read slowly, or stop half-way: the client
    with the slowest progress goes first, and one that makes progress is kept as
    long as there are others. Requests that are handled are never dropped.
*/
class shedding_policy
{
public:
    /** Clients are not judged before this time, which is longer than a round
        trip and the retransmission of a packet. */
    static constexpr std::chrono::milliseconds grace{1000};

    /** Bytes per second below which a client counts as stopped. The header of
        an ordinary request arrives faster in any packet a second. */
    static constexpr double min_bytes_per_second = 1000;

    /** Returns the progress in bytes per second; 0 after a pause of `grace`. */
    static double rate(const connection_progress& progress, time_point now);

    /** Selects a connection whose memory is needed for others.

        @param requester  the rate of the connection that needs memory: only
                          those of less than half of it are selected, so that
                          clients on equal links do not displace each other
        @returns the index of the connection; none if there is none
    */
    static std::optional<std::size_t>
    select_for_memory(const std::vector<connection_progress>& connections,
                      double requester, time_point now);

    /** Selects a connection whose descriptor is needed for a new one. Idle
        connections go after those that have stopped and before those that make
        progress, the longest idle one first.

        @param min_age  the minimum time since the phase began */
    static std::optional<std::size_t>
    select_for_descriptor(const std::vector<connection_progress>& connections,
                          std::chrono::milliseconds min_age, time_point now);
};

} // namespace hibiscusferry

#endif
