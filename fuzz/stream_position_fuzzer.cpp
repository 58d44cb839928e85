#include "fuzz_input.hpp"
#include "routing/streams/stream_assembler.hpp"
#include <sstream>

using namespace hibiscusferry;

namespace
{

/** Checks a stream_assembler against a model of the tokens that the caller has
    received. */
class checked_stream
{
public:
    /** Applies one line of the input: a letter that selects the operation. For
        stream events, the event's ID follows; a digit between the letter and
        the ID is the event's number of tokens. */
    void apply(const std::string& line)
    {
        switch (line.empty() ? '\0' : line.front())
        {
        case 'e':
        case 'm':
            receive(line);
            break;
        case 'd':
            done();
            break;
        case 'i':
            interrupt();
            break;
        case 'r':
            assembler_.resumed();
            is_open_ = true;
            break;
        case 'f':
            assembler_.fail();
            has_ended_ = true;
            break;
        default:
            break;
        }
        require(assembler_.delivered() == delivered_,
                "the number of delivered tokens is reported");
    }

private:
    void receive(const std::string& line)
    {
        stream_event event;
        event.has_text = line.front() == 'e';
        std::size_t position_begin = 1;
        if (line.size() > 1 && line[1] >= '0' && line[1] <= '9')
        {
            event.tokens = static_cast<std::uint64_t>(line[1] - '0');
            position_begin = 2;
        }
        const result<stream_position> position = stream_position::parse(
            std::string_view(line).substr(position_begin));
        if (!position)
            return;
        event.position = position.value();
        require_round_trip(event.position);
        const stream_step step = assembler_.receive(event);
        if (step == stream_step::deliver)
            deliver(event);
        if (step == stream_step::other_generation ||
            step == stream_step::misaligned)
        {
            require(assembler_.has_failed(),
                    "an unexpected event fails the response");
            has_ended_ = true;
        }
    }

    void deliver(const stream_event& event)
    {
        require(!has_ended_, "no event is delivered after the end");
        require(is_open_, "no event is delivered before the stream resumes");
        require(generation_.empty() || generation_ == event.position.generation,
                "only one generation is delivered");
        generation_ = event.position.generation;
        if (!event.has_text)
            return;
        const std::uint64_t offset = event.position.offset;
        require(offset > delivered_, "no token is delivered twice");
        require(!event.tokens || offset - *event.tokens == delivered_,
                "events follow each other without overlap or gap");
        delivered_ = offset;
    }

    void done()
    {
        if (!assembler_.done())
            return;
        require(!has_ended_ && is_open_,
                "a response completes once, on an open stream");
        require(assembler_.is_complete(),
                "a completed response is reported as complete");
        has_ended_ = true;
    }

    void interrupt()
    {
        const std::optional<stream_position> from = assembler_.interrupted();
        if (!from)
        {
            has_ended_ = true;
            return;
        }
        require(!has_ended_, "a response that has ended is not resumed");
        require(from->offset == delivered_,
                "a stream resumes after the last delivered token");
        is_open_ = false;
    }

    static void require_round_trip(const stream_position& position)
    {
        const result<stream_position> reparsed =
            stream_position::parse(position.text());
        require(reparsed &&
                    reparsed.value().generation == position.generation &&
                    reparsed.value().offset == position.offset,
                "a position is unchanged after a round trip");
    }

    stream_assembler assembler_;
    std::string generation_;
    std::uint64_t delivered_ = 0;
    bool is_open_ = true;
    bool has_ended_ = false;
};

} // namespace

/** Fuzzes the parser of stream event IDs and the assembly of a streamed
   response. No token may be delivered twice or after the end. */
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    std::istringstream lines(input_text(data, size));
    checked_stream stream;
    for (std::string line; std::getline(lines, line);)
        stream.apply(line);
    return 0;
}
