#ifndef HIBISCUSFERRY_EXTRAS_CLIENT_LIMITS_CLIENT_CROWD_HPP
#define HIBISCUSFERRY_EXTRAS_CLIENT_LIMITS_CLIENT_CROWD_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace hibiscusferry::client_limits
{

/** What one client sends: a head, then a text repeated without end until
    `body_bytes` bytes of it are sent. It keeps its connection open. */
struct client_plan
{
    std::string head;
    std::string body_unit;
    std::size_t body_bytes = 0;
    /** Maximum size of a single write. */
    std::size_t write_bytes = 65536;
    /** Time between two writes. */
    std::chrono::milliseconds pause{0};
};

/** Many clients on non-blocking sockets that never read. */
class client_crowd
{
public:
    client_crowd(const std::string& address, std::uint16_t port,
                 const std::vector<client_plan>& plans);
    ~client_crowd();
    client_crowd(const client_crowd&) = delete;
    client_crowd& operator=(const client_crowd&) = delete;

    /** Sends for a time, or until nothing is left to send. Connections that the
        server has closed are kept.

        @param observe  called about every 20 ms
    */
    void play(std::chrono::milliseconds duration,
              const std::function<void()>& observe);

private:
    using clock = std::chrono::steady_clock;

    struct client
    {
        client_plan plan;
        /** The unit, repeated to at least the size of a write. */
        std::string repeated_unit;
        int descriptor = -1;
        std::size_t sent = 0;
        clock::time_point next_write{};
        bool is_finished = false;
    };

    /** Writes once. */
    static void advance(client& sender, clock::time_point now);

    std::vector<client> clients_;
};

} // namespace hibiscusferry::client_limits

#endif
