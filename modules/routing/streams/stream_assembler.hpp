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

/** What to do with an event of a stream. */
enum class stream_step
{
    deliver,          ///< the next part of the answer: send it to the caller
    drop,             ///< the caller has it already
    gap,              ///< parts are missing: close, and resume at the offset
    other_generation, ///< of another run: end with an explicit error
    misaligned,       ///< only partly new: end with an explicit error
    closed            ///< the stream has ended or failed before
};

/** Puts a streamed answer together over any number of connections.

    Delivers each token at most once, in order, and of one generation only;
    an answer counts as complete only after its [DONE]. When a connection ends
    before that, interrupted() says where to resume, on the same target. After
    other_generation, misaligned, or a resume that the engine does not know,
    call fail(): the caller gets an explicit error.

    One per streamed request; a few dozen bytes. Used from one thread.
*/
class stream_assembler
{
public:
    /** An event arrived.
        @param tokens  how many tokens it carries; 0 if the engine does not
                       say, when the first event of a connection is taken to
                       follow what was asked for, and later ones each other */
    stream_step event(const stream_position& position, std::uint64_t tokens);

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

    stream_step place(std::uint64_t offset, std::uint64_t tokens) const;

    state state_ = state::streaming;
    std::string generation_;
    std::uint64_t delivered_ = 0;
    /** The last offset seen on this connection. */
    std::uint64_t seen_ = 0;
    bool gap_ = false;
};

} // namespace hibiscusferry

#endif
