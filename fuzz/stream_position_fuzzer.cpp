#include "fuzz_input.hpp"
#include "routing/streams/stream_assembler.hpp"
#include <sstream>

using namespace hibiscusferry;

namespace
{

/** A stream_assembler beside what the caller has received. */
class checked_stream
{
public:
    /** One line of the input: a letter for what happens and, for events, the
        event's id. A digit after the letter is the event's tokens. */
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
                "the tokens delivered are told");
    }

private:
    void receive(const std::string& line)
    {
        stream_event event;
        event.has_text = line.front() == 'e';
        std::size_t begin = 1;
        if (line.size() > 1 && line[1] >= '0' && line[1] <= '9')
        {
            event.tokens = static_cast<std::uint64_t>(line[1] - '0');
            begin = 2;
        }
        const result<stream_position> position =
            stream_position::parse(std::string_view(line).substr(begin));
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
            require(assembler_.has_failed(), "a wrong event fails the answer");
            has_ended_ = true;
        }
    }

    void deliver(const stream_event& event)
    {
        require(!has_ended_, "nothing is delivered after the end");
        require(is_open_, "nothing is delivered before the stream resumes");
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
        require(!has_ended_ && is_open_, "an answer completes once, open");
        require(assembler_.is_complete(), "a complete answer says so");
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
        require(!has_ended_, "an answer that ended is not resumed");
        require(from->offset == delivered_, "it resumes after the last token");
        is_open_ = false;
    }

    static void require_round_trip(const stream_position& position)
    {
        const result<stream_position> again =
            stream_position::parse(position.text());
        require(again && again.value().generation == position.generation &&
                    again.value().offset == position.offset,
                "a position reads back what it wrote");
    }

    stream_assembler assembler_;
    std::string generation_;
    std::uint64_t delivered_ = 0;
    bool is_open_ = true;
    bool has_ended_ = false;
};

} // namespace

/** Ids of streamed events and the assembly of the answer: no token is
    delivered twice, and none after the end. */
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    std::istringstream lines(input_text(data, size));
    checked_stream stream;
    for (std::string line; std::getline(lines, line);)
        stream.apply(line);
    return 0;
}
