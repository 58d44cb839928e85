#ifndef HIBISCUSFERRY_EXTRAS_STAND_INS_ENGINE_COMPLETION_TEXT_HPP
#define HIBISCUSFERRY_EXTRAS_STAND_INS_ENGINE_COMPLETION_TEXT_HPP

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscusferry::stand_ins
{

/** Tokens in one piece of KV cache. */
constexpr std::size_t cache_block_tokens = 2048;

/** What a client asks the model. A token is a word. */
struct model_prompt
{
    /** All that the model reads. */
    std::string text;
    /** The last message, which the answer is about. */
    std::string question;
    /** Greatest number of tokens of the answer. */
    std::optional<std::size_t> limit;
    /** Goes on with filler words up to the limit. */
    bool ignores_end_of_sequence = false;
};

/** The words of a text. */
std::vector<std::string> split_words(std::string_view text);

/** The hash of each whole piece of the prompt together with all before it,
    as 16 hexadecimal digits. */
std::vector<std::string>
prefix_hashes(const std::vector<std::string>& prompt_words);

/** The tokens of the answer, always the same for the same prompt: it quotes
    the beginning of the question, repeats each line that names an allergy
    and goes on with filler words. */
std::vector<std::string> completion_tokens(const model_prompt& prompt);

} // namespace hibiscusferry::stand_ins

#endif
