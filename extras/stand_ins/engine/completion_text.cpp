#include "stand_ins/engine/completion_text.hpp"

#include "foundation/foundation.hpp"
#include <algorithm>
#include <array>
#include <boost/algorithm/string/predicate.hpp>
#include <cstdio>
#include <sstream>

namespace hibiscusferry::stand_ins
{

namespace
{

constexpr std::size_t max_quoted_words = 6;
constexpr std::size_t max_allergy_lines = 40;
constexpr std::size_t min_filler_words = 16;
constexpr std::size_t filler_word_range = 32;
constexpr std::size_t max_output_tokens = 8192;

constexpr std::array<const char*, 16> filler_words = {
    "the",  "order", "label", "route", "driver", "crate", "return",  "levy",
    "with", "and",   "for",   "gate",  "school", "form",  "checked", "noted"};

void append_words(std::vector<std::string>& words, std::string_view text)
{
    for (std::string& word : split_words(text))
        words.push_back(std::move(word));
}

void quote_question(std::vector<std::string>& words,
                    const std::string& question)
{
    std::vector<std::string> quoted = split_words(question);
    quoted.resize(std::min(quoted.size(), max_quoted_words));
    words.emplace_back("Re:");
    for (std::string& word : quoted)
        words.push_back(std::move(word));
    words.emplace_back("|");
}

void list_allergies(std::vector<std::string>& words, const std::string& text)
{
    std::istringstream lines(text);
    std::string line;
    std::size_t listed = 0;
    while (listed < max_allergy_lines && std::getline(lines, line))
    {
        if (!boost::algorithm::icontains(line, "allerg"))
            continue;
        append_words(words, "Label:");
        append_words(words, line);
        words.emplace_back("|");
        ++listed;
    }
}

void add_filler(std::vector<std::string>& words, std::uint64_t seed,
                std::size_t count)
{
    for (std::size_t index = 0; index < count; ++index)
        words.emplace_back(
            filler_words[combine_hashes(seed, index) % filler_words.size()]);
}

} // namespace

std::vector<std::string> split_words(std::string_view text)
{
    static constexpr std::string_view blanks = " \t\r\n";
    std::vector<std::string> words;
    std::size_t start = text.find_first_not_of(blanks);
    while (start != std::string_view::npos)
    {
        const std::size_t end =
            std::min(text.find_first_of(blanks, start), text.size());
        words.emplace_back(text.substr(start, end - start));
        start = text.find_first_not_of(blanks, end);
    }
    return words;
}

std::vector<std::string>
prefix_hashes(const std::vector<std::string>& prompt_words)
{
    std::vector<std::string> hashes;
    std::uint64_t hash = 0;
    for (std::size_t index = 0; index < prompt_words.size(); ++index)
    {
        hash = combine_hashes(hash, stable_hash(prompt_words[index]));
        if ((index + 1) % cache_block_tokens != 0)
            continue;
        std::array<char, 17> digits{};
        std::snprintf(digits.data(), digits.size(), "%016llx",
                      static_cast<unsigned long long>(hash));
        hashes.emplace_back(digits.data());
    }
    return hashes;
}

std::vector<std::string> completion_tokens(const model_prompt& prompt)
{
    const std::uint64_t seed = stable_hash(prompt.text);
    const std::size_t limit = std::clamp<std::size_t>(
        prompt.limit.value_or(max_output_tokens), 1, max_output_tokens);
    std::vector<std::string> words;
    quote_question(words, prompt.question);
    list_allergies(words, prompt.text);
    add_filler(words, seed, min_filler_words + seed % filler_word_range);
    if (prompt.ignores_end_of_sequence && words.size() < limit)
        add_filler(words, seed, limit - words.size());
    words.resize(std::min(words.size(), limit));

    for (std::size_t index = 1; index < words.size(); ++index)
        words[index].insert(0, 1, ' ');
    return words;
}

} // namespace hibiscusferry::stand_ins
