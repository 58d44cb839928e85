#include "sharing/sharing.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace hibiscusferry;

namespace
{

constexpr std::size_t max_bytes = 8U << 20;

/** A text of lines that hardly resemble each other. */
std::string text_of_lines(std::size_t lines)
{
    std::string text;
    for (std::size_t line = 0; line < lines; ++line)
        text += sha256_hex(std::to_string(line)) + "\n";
    return text;
}

} // namespace

BOOST_AUTO_TEST_SUITE(text_delta_test)

BOOST_AUTO_TEST_CASE(a_change_of_a_large_text_is_small)
{
    constexpr std::size_t lines = 16000;
    constexpr std::size_t changed_position = 400000;
    const std::string base = text_of_lines(lines);
    std::string text = base;
    text.replace(changed_position, 20, "something else, and longer");
    const std::string delta = encode_text_delta(text, base).value();
    BOOST_TEST(delta.size() < 1000U);
    BOOST_TEST((decode_text_delta(delta, base, max_bytes).value() == text));
}

BOOST_AUTO_TEST_CASE(a_text_without_a_base_is_compressed)
{
    const std::string text(100000, 'a');
    const std::string bytes = encode_text_delta(text, {}).value();
    BOOST_TEST(bytes.size() < 1000U);
    BOOST_TEST((decode_text_delta(bytes, {}, max_bytes).value() == text));
}

BOOST_AUTO_TEST_CASE(a_text_that_is_too_large_is_not_decompressed)
{
    const std::string text(100000, 'a');
    const std::string bytes = encode_text_delta(text, {}).value();
    BOOST_TEST(decode_text_delta(bytes, {}, text.size()).has_value());
    BOOST_TEST(!decode_text_delta(bytes, {}, text.size() - 1).has_value());
}

BOOST_AUTO_TEST_CASE(any_texts_are_restored)
{
    const bool holds = rc::check(
        "a text is restored from its delta and base",
        [](const std::string& text, const std::string& base)
        {
            const std::string delta = encode_text_delta(text, base).value();
            RC_ASSERT(decode_text_delta(delta, base, max_bytes).value() ==
                      text);
        });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_CASE(any_bytes_are_rejected_or_decoded)
{
    const std::string base = text_of_lines(10);
    const bool holds =
        rc::check("cut and changed deltas do no harm",
                  [&base](std::size_t kept, std::size_t changed, char value)
                  {
                      std::string delta =
                          encode_text_delta(base + "more" + base, base).value();
                      delta[changed % delta.size()] = value;
                      delta.resize(kept % (delta.size() + 1));
                      const result<std::string> text =
                          decode_text_delta(delta, base, max_bytes);
                      const bool is_bounded =
                          !text || text.value().size() <= max_bytes;
                      RC_ASSERT(is_bounded);
                  });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_SUITE_END()
