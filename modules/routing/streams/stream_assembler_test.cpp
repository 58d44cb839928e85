#include "routing/routing.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <rapidcheck.h>

using namespace hibiscusferry;

namespace
{

constexpr std::uint64_t response_tokens = 12;

std::string token_text(std::uint64_t offset)
{
    return "t" + std::to_string(offset) + " ";
}

std::string expected_response()
{
    std::string text;
    for (std::uint64_t offset = 1; offset <= response_tokens; ++offset)
        text += token_text(offset);
    return text;
}

/** The part of the response that a caller has received. */
struct caller_view
{
    std::string text;
    bool complete = false;
};

/** The oracle: a caller receives only a prefix of the expected response, and
    completion only after the whole response. */
bool is_correct(const caller_view& caller)
{
    const std::string response = expected_response();
    return response.compare(0, caller.text.size(), caller.text) == 0 &&
           (!caller.complete || caller.text == response);
}

/** A faulty assembler that forwards every event. The oracle must detect it. */
class splicing_assembler
{
public:
    stream_step receive(const stream_event& event)
    {
        position_ = event.position;
        return stream_step::deliver;
    }

    bool done()
    {
        return true;
    }

    std::optional<stream_position> interrupted()
    {
        return position_;
    }

    void resumed()
    {
    }

private:
    std::optional<stream_position> position_;
};

struct stream_command
{
    int kind = 0;
    int amount = 0;
};

std::ostream& operator<<(std::ostream& stream, const stream_command& command)
{
    return stream << "{" << command.kind << "," << command.amount << "}";
}

rc::Gen<stream_command> stream_commands()
{
    return rc::gen::build<stream_command>(
        rc::gen::set(&stream_command::kind, rc::gen::inRange(0, 12)),
        rc::gen::set(&stream_command::amount, rc::gen::inRange(0, 4)));
}

/** Simulates an engine and a network that repeat, skip, restart and interrupt a
    stream. The check fails if the caller receives text of another run, repeated
    or missing tokens, or an early completion. */
template <class Assembler>
bool response_stays_correct(const std::vector<stream_command>& commands)
{
    Assembler assembler;
    caller_view caller;
    std::uint64_t next = 1;
    std::string generation = "g";
    const auto send = [&](std::uint64_t offset)
    {
        const stream_event event{{generation, offset}, true, 1};
        if (assembler.receive(event) == stream_step::deliver)
        {
            caller.text +=
                generation == "g" ? token_text(offset) : std::string("other ");
        }
    };
    for (const stream_command& command : commands)
    {
        const std::uint64_t amount = static_cast<std::uint64_t>(command.amount);
        if (command.kind <= 6 && next <= response_tokens)
        {
            send(next++);
        }
        else if (command.kind == 7 && next > amount + 1)
        {
            // Repeats a token that was sent before.
            send(next - 1 - amount);
        }
        else if (command.kind == 8)
        {
            next = std::min(next + amount, response_tokens + 1);
        }
        else if (command.kind == 9)
        {
            const std::optional<stream_position> resume =
                assembler.interrupted();
            if (!resume)
                continue;
            // Continues at the requested position, one token before it, or one
            // after it.
            next = resume->offset + 1;
            if (amount == 2 && next > 1)
                --next;
            if (amount == 3)
                ++next;
            assembler.resumed();
        }
        else if (command.kind == 10 && amount == 0)
        {
            generation = "h";
        }
        else if (command.kind == 11 && next > response_tokens)
        {
            caller.complete = caller.complete || assembler.done();
        }
        if (!is_correct(caller))
            return false;
    }
    return true;
}

template <class Assembler>
bool check_streams()
{
    setenv("RC_PARAMS", "seed=12 max_success=2000 max_size=80", 1);
    return rc::check("a streamed response is never spliced",
                     []
                     {
                         const std::vector<stream_command> commands =
                             *rc::gen::container<std::vector<stream_command>>(
                                 stream_commands());
                         RC_ASSERT(response_stays_correct<Assembler>(commands));
                     });
}

stream_event text_at(std::uint64_t offset)
{
    return {{"g", offset}, true, std::nullopt};
}

stream_event marker_at(std::uint64_t offset)
{
    return {{"g", offset}, false, std::nullopt};
}

} // namespace

BOOST_AUTO_TEST_SUITE(stream_assembler_test)

BOOST_AUTO_TEST_CASE(responses_stay_correct_under_random_faults)
{
    BOOST_TEST(check_streams<stream_assembler>());
}

BOOST_AUTO_TEST_CASE(the_oracle_detects_splicing)
{
    BOOST_TEST(!check_streams<splicing_assembler>());
}

BOOST_AUTO_TEST_CASE(a_resumed_stream_becomes_complete)
{
    stream_assembler stream;
    BOOST_TEST((stream.receive(marker_at(0)) == stream_step::deliver));
    BOOST_TEST((stream.receive(text_at(1)) == stream_step::deliver));
    BOOST_TEST((stream.receive(text_at(2)) == stream_step::deliver));
    const std::optional<stream_position> resume = stream.interrupted();
    BOOST_REQUIRE(resume.has_value());
    BOOST_TEST(resume->text() == "g:2");
    BOOST_TEST(!stream.done());
    stream.resumed();
    BOOST_TEST((stream.receive(text_at(2)) == stream_step::drop));
    BOOST_TEST((stream.receive(text_at(3)) == stream_step::deliver));
    BOOST_TEST((stream.receive(marker_at(3)) == stream_step::deliver));
    stream.interrupted();
    stream.resumed();
    BOOST_TEST((stream.receive(marker_at(3)) == stream_step::drop));
    BOOST_TEST(stream.done());
    BOOST_TEST(stream.is_complete());
}

BOOST_AUTO_TEST_CASE(skipped_tokens_are_fetched_by_a_resume)
{
    stream_assembler stream;
    const auto one_token = [](std::uint64_t offset)
    {
        return stream_event{{"g", offset}, true, 1};
    };
    BOOST_TEST((stream.receive(one_token(1)) == stream_step::deliver));
    BOOST_TEST((stream.receive(one_token(3)) == stream_step::gap));
    BOOST_TEST((stream.receive(one_token(2)) == stream_step::gap));
    BOOST_TEST(!stream.done());
    BOOST_TEST(stream.interrupted()->offset == 1);
    stream.resumed();
    BOOST_TEST((stream.receive(one_token(2)) == stream_step::deliver));
    BOOST_TEST((stream.receive(one_token(3)) == stream_step::deliver));
    BOOST_TEST(
        (stream.receive({{"g", 5}, true, 3}) == stream_step::misaligned));
    BOOST_TEST(stream.has_failed());
}

BOOST_AUTO_TEST_CASE(an_incomplete_response_is_never_reported_complete)
{
    stream_assembler cut;
    cut.receive(text_at(1));
    cut.interrupted();
    BOOST_TEST(!cut.done());
    cut.fail();
    BOOST_TEST(!cut.done());
    BOOST_TEST(!cut.is_complete());

    stream_assembler skipped;
    skipped.receive(text_at(1));
    BOOST_TEST((skipped.receive(marker_at(3)) == stream_step::gap));
    BOOST_TEST(!skipped.done());

    stream_assembler restarted;
    restarted.receive(text_at(1));
    BOOST_TEST((restarted.receive({{"h", 2}, true, std::nullopt}) ==
                stream_step::other_generation));
    BOOST_TEST(restarted.has_failed());
    BOOST_TEST((restarted.receive(text_at(2)) == stream_step::closed));
}

BOOST_AUTO_TEST_CASE(positions_are_parsed_and_malformed_ones_rejected)
{
    const result<stream_position> parsed = stream_position::parse("a:b:17");
    BOOST_REQUIRE(parsed.has_value());
    BOOST_TEST(parsed.value().generation == "a:b");
    BOOST_TEST(parsed.value().offset == 17);
    for (const char* text :
         {"", ":", "a:", ":1", "a:-1", "a:1x", "a", "a:99999999999999999999"})
        BOOST_TEST(!stream_position::parse(text).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
