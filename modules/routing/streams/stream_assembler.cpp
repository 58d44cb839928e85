#include "routing/streams/stream_assembler.hpp"

#include <charconv>

namespace hibiscusferry
{

std::string stream_position::text() const
{
    return generation + ":" + std::to_string(offset);
}

result<stream_position> stream_position::parse(std::string_view text)
{
    const std::error_code invalid =
        std::make_error_code(std::errc::invalid_argument);
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0 ||
        colon + 1 == text.size())
    {
        return invalid;
    }
    stream_position position;
    position.generation = std::string(text.substr(0, colon));
    const char* const end = text.data() + text.size();
    const std::from_chars_result parsed =
        std::from_chars(text.data() + colon + 1, end, position.offset);
    if (parsed.ec != std::errc() || parsed.ptr != end)
        return invalid;
    return position;
}

stream_step stream_assembler::receive(const stream_event& event)
{
    if (state_ != state::streaming)
        return stream_step::closed;
    if (generation_.empty())
        generation_ = event.position.generation;
    if (generation_ != event.position.generation)
    {
        fail();
        return stream_step::other_generation;
    }
    if (gap_)
        return stream_step::gap;

    const stream_step step = event.has_text
                                 ? classify_text(event)
                                 : classify_marker(event.position.offset);
    if (step == stream_step::gap)
        gap_ = true;
    if (step == stream_step::misaligned)
        fail();
    if (step == stream_step::deliver && event.has_text)
    {
        delivered_ = event.position.offset;
        markers_delivered_ = 0;
        markers_seen_ = 0;
    }
    return step;
}

bool stream_assembler::done()
{
    if (state_ != state::streaming || gap_)
        return false;
    state_ = state::complete;
    return true;
}

std::optional<stream_position> stream_assembler::interrupted()
{
    if (state_ == state::complete || state_ == state::failed)
        return std::nullopt;
    if (generation_.empty())
    {
        fail();
        return std::nullopt;
    }
    state_ = state::interrupted;
    return stream_position{generation_, delivered_};
}

void stream_assembler::resumed()
{
    if (state_ != state::interrupted)
        return;
    state_ = state::streaming;
    markers_seen_ = 0;
    gap_ = false;
}

void stream_assembler::fail()
{
    if (state_ != state::complete)
        state_ = state::failed;
}

bool stream_assembler::is_complete() const
{
    return state_ == state::complete;
}

bool stream_assembler::has_failed() const
{
    return state_ == state::failed;
}

std::uint64_t stream_assembler::delivered() const
{
    return delivered_;
}

stream_step stream_assembler::classify_text(const stream_event& event) const
{
    const std::uint64_t offset = event.position.offset;
    if (offset <= delivered_)
        return stream_step::drop;
    if (!event.tokens)
        return stream_step::deliver;
    if (*event.tokens > offset)
        return stream_step::misaligned;
    const std::uint64_t begin = offset - *event.tokens;
    if (begin > delivered_)
        return stream_step::gap;
    return begin == delivered_ ? stream_step::deliver : stream_step::misaligned;
}

stream_step stream_assembler::classify_marker(std::uint64_t offset)
{
    if (offset > delivered_)
        return stream_step::gap;
    if (offset < delivered_)
        return stream_step::drop;
    // After a resume, the engine repeats the events that follow the token.
    ++markers_seen_;
    if (markers_seen_ <= markers_delivered_)
        return stream_step::drop;
    ++markers_delivered_;
    return stream_step::deliver;
}

} // namespace hibiscusferry
