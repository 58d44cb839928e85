#ifndef HIBISCUSFERRY_ROUTING_STREAMS_STREAM_ASSEMBLER_HPP
#define HIBISCUSFERRY_ROUTING_STREAMS_STREAM_ASSEMBLER_HPP

#include "foundation/foundation.hpp"
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hibiscusferry
{

/** The id of a server-sent event of a streamed response. */
struct stream_position
{
    /** The engine's id for this run of the request. */
    std::string generation;
    /** The number of tokens sent up to and including the event. */
    std::uint64_t offset = 0;

    /** Formats the id as "GENERATION:OFFSET". */
    std::string text() const;

    /** Parses an event's id. Fails with std::errc::invalid_argument if it does
        not have the form GENERATION:OFFSET. */
    static result<stream_position> parse(std::string_view text);
};

/** An event of a streamed response. */
struct stream_event
{
    stream_position position;
    /** Whether the event carries text. Events without text, such as the first
        one with the role or the last one with the finish reason, repeat the
        offset of the preceding token. */
    bool has_text = true;
    /** The number of tokens in the event, if the engine's events always carry a
        known number. It allows skipped tokens to be detected; without it, an
        event is assumed to follow the last received or requested position. */
    std::optional<std::uint64_t> tokens;
};

/** How an event of a stream has to be handled. */
enum class stream_step
{
    deliver,          ///< next part of the response: send it to the caller
    drop,             ///< already sent to the caller
    gap,              ///< tokens are missing: close, and resume at the offset
    other_generation, ///< event of another run: end with an explicit error
    misaligned,       ///< partly sent already: end with an explicit error
    closed            ///< the stream has ended or has not been resumed yet
};

/** Assembles a streamed response from any number of connections.

    Delivers each token at most once, in order, and from a single generation. A
    response is complete only after its [DONE] event. If a connection ends
    earlier, interrupted() returns the position at which to resume on the same
    target. If the engine no longer knows the generation, call fail(); the
    caller then receives an explicit error.

    One object per streamed request, of a few dozen bytes, to be used from a
    single thread.
*/
class stream_assembler
{
public:
    /** An event was received. After other_generation or misaligned the response
        has failed and the caller receives an explicit error. */
    stream_step receive(const stream_event& event);

    /** The stream's [DONE] event was received.

        @returns true if the response is now complete, false if [DONE] must not
            be forwarded
    */
    bool done();

    /** The connection ended or was closed.

        @returns the position at which to resume, or none if the response is
            complete, has failed, or has not begun
    */
    std::optional<stream_position> interrupted();

    /** The stream continues over another connection. The events after the
        position returned by interrupted() are expected. */
    void resumed();

    /** The response cannot be completed. */
    void fail();

    /** Returns true if the complete response was delivered. */
    bool is_complete() const;
    bool has_failed() const;

    /** The number of tokens delivered. */
    std::uint64_t delivered() const;

private:
    enum class state
    {
        streaming,
        interrupted,
        complete,
        failed
    };

    stream_step classify_text(const stream_event& event) const;
    stream_step classify_marker(std::uint64_t offset);

    state state_ = state::streaming;
    std::string generation_;
    std::uint64_t delivered_ = 0;
    /** The number of events without text after the last delivered token: those
        delivered over all connections, and those received on this
        connection. */
    std::uint32_t markers_delivered_ = 0;
    std::uint32_t markers_seen_ = 0;
    bool gap_ = false;
};

} // namespace hibiscusferry

#endif
