#ifndef HIBISCUSFERRY_GATEWAY_STREAMS_STREAM_VERSIONS_HPP
#define HIBISCUSFERRY_GATEWAY_STREAMS_STREAM_VERSIONS_HPP

#include <boost/asio/spawn.hpp>
#include <chrono>
#include <optional>
#include <string>

namespace hibiscusferry
{

/** The software versions of the targets that began the resumable streams of the
    fleet. */
class stream_versions
{
public:
    virtual ~stream_versions() = default;

    /** A longer search is of no use: live hosts answer within a round trip. */
    static constexpr std::chrono::milliseconds max_find_time{200};

    /** Records the version of a stream. To be called before the first event is
        forwarded to the caller, so that the record precedes any request to
        resume the stream. Does not wait.
        @param request_id  the id of the caller's request; an empty one is not
                           recorded
        @param version     may be empty
        @param lifetime    how long the stream may be resumed */
    virtual void record(const std::string& request_id,
                        const std::string& version,
                        std::chrono::milliseconds lifetime) = 0;

    /** Finds the version of a stream, also if another host recorded it.
        @param request_id  the id under which the version was recorded
        @param timeout     maximum time to wait for answers of other hosts
        @returns nothing if the version is unknown */
    virtual std::optional<std::string>
    find(const std::string& request_id, std::chrono::milliseconds timeout,
         boost::asio::yield_context yield) = 0;
};

} // namespace hibiscusferry

#endif
