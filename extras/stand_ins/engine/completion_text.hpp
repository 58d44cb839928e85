#ifndef HIBISCUSFERRY_EXTRAS_STAND_INS_ENGINE_COMPLETION_TEXT_HPP
#define HIBISCUSFERRY_EXTRAS_STAND_INS_ENGINE_COMPLETION_TEXT_HPP

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscusferry::stand_ins
{

/** The number of tokens in one KV cache block. */
constexpr std::size_t cache_block_tokens = 2048;

/** The prompt and the generation parameters of a request. Each word counts as
    one token. */
struct model_prompt
{
    /** The whole prompt. */
    std::string text;
    /** The last message, which the completion quotes. */
    std::string question;
    /** The maximum number of generated tokens. */
    std::optional<std::size_t> limit;
    /** Whether to generate filler words until the limit is reached. */
    bool ignores_end_of_sequence = false;
};

/** Splits a text into words separated by white space. */
std::vector<std::string> split_words(std::string_view text);

/** Returns a hash for each full KV cache block of the prompt, as 16
    hexadecimal digits. Each hash covers the block and all preceding ones. */
std::vector<std::string>
prefix_hashes(const std::vector<std::string>& prompt_words);

/** Returns the tokens of the completion.

    The completion is deterministic: it quotes the beginning of the question,
    repeats the lines that mention an allergy and continues with filler words.
*/
std::vector<std::string> completion_tokens(const model_prompt& prompt);

} // namespace hibiscusferry::stand_ins

#endif
