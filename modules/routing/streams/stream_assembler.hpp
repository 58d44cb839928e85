#ifndef HIBISCUSFERRY_ROUTING_STREAMS_STREAM_ASSEMBLER_HPP
#define HIBISCUSFERRY_ROUTING_STREAMS_STREAM_ASSEMBLER_HPP

#include "foundation/foundation.hpp"
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hibiscusferry
{

/** The id of a server-sent event of a streamed answer. */
struct stream_position
{
    /** The engine's name for this run of the request. */
    std::string generation;
    /** Tokens sent up to and including the event. */
    std::uint64_t offset = 0;

    /** "GENERATION:OFFSET". */
    std::string text() const;

    /** Reads an event's id; std::errc::invalid_argument if it is not of the
        form GENERATION:OFFSET. */
    static result<stream_position> parse(std::string_view text);
};

/** An event of a streamed answer. */
struct stream_event
{
    stream_position position;
    /** Whether it carries text. Events without any, such as the first one
        with the role or the last one with the finish reason, repeat the
        offset of the token before them. */
    bool has_text = true;
    /** How many tokens it carries, if the engine's events always carry a
        known number. With it, parts that were skipped are found; without it,
        an event is taken to follow what was received or asked for last. */
    std::optional<std::uint64_t> tokens;
};

/** What to do with an event of a stream. */
enum class stream_step
{
    deliver,          ///< the next part of the answer: send it to the caller
    drop,             ///< the caller has it already
    gap,              ///< parts are missing: close, and resume at the offset
    other_generation, ///< of another run: end with an explicit error
    misaligned,       ///< only partly new: end with an explicit error
    closed            ///< the stream has ended, or is not resumed yet
};

/** Puts a streamed answer together over any number of connections.

    Delivers each token at most once, in order, and of one generation only;
    an answer counts as complete only after its [DONE]. When a connection ends
    before that, interrupted() says where to resume, on the same target. When
   the engine does not know the generation any more, call fail(): the caller
   gets an explicit error.

    One per streamed request; a few dozen bytes. Used from one thread.
*/
class stream_assembler
{
public:
    /** An event arrived. After other_generation and misaligned the answer
        has failed: the caller gets an explicit error. */
    stream_step receive(const stream_event& event);

    /** The stream's [DONE] arrived.
        @returns true when the answer is now complete; false when it must not
                 be passed on */
    bool done();

    /** The connection ended or was given up.
        @returns where to resume; none when there is nothing to resume:
                 complete, failed, or no event has come yet */
    std::optional<stream_position> interrupted();

    /** The stream goes on over another connection. Events are expected after
        the position that interrupted() told. */
    void resumed();

    /** The answer can not be completed. */
    void fail();

    /** Whether the whole answer was delivered. */
    bool is_complete() const;
    bool has_failed() const;

    /** Tokens delivered. */
    std::uint64_t delivered() const;

private:
    enum class state
    {
        streaming,
        interrupted,
        complete,
        failed
    };

    stream_step place_text(const stream_event& event) const;
    stream_step place_marker(std::uint64_t offset);

    state state_ = state::streaming;
    std::string generation_;
    std::uint64_t delivered_ = 0;
    /** Events without text after the last delivered token: delivered in all,
        and seen on this connection. */
    std::uint32_t markers_delivered_ = 0;
    std::uint32_t markers_seen_ = 0;
    bool gap_ = false;
};

} // namespace hibiscusferry

#endif
