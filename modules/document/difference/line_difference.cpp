#include "document/difference/line_difference.hpp"

#include <algorithm>
#include <sstream>
#include <vector>

namespace hibiscusferry
{

namespace
{

constexpr std::size_t max_compared_lines = 2000;

std::vector<std::string> split_lines(const std::string& text)
{
    std::vector<std::string> lines;
    std::istringstream stream(text);
    std::string line;
    while (std::getline(stream, line))
        lines.push_back(line);
    return lines;
}

/** lengths[i][j] is the length of the longest common subsequence of the first
    text's lines from i on and the second text's lines from j on. */
using length_table = std::vector<std::vector<std::uint32_t>>;

length_table common_lengths(const std::vector<std::string>& before,
                            const std::vector<std::string>& after)
{
    length_table lengths(before.size() + 1,
                         std::vector<std::uint32_t>(after.size() + 1, 0));
    for (std::size_t i = before.size(); i-- > 0;)
    {
        for (std::size_t j = after.size(); j-- > 0;)
        {
            lengths[i][j] = before[i] == after[j] ? lengths[i + 1][j + 1] + 1
                                                  : std::max(lengths[i + 1][j],
                                                             lengths[i][j + 1]);
        }
    }
    return lengths;
}

std::string full_replacement(const std::vector<std::string>& before,
                             const std::vector<std::string>& after)
{
    std::string output;
    for (const std::string& line : before)
        output += "-" + line + "\n";
    for (const std::string& line : after)
        output += "+" + line + "\n";
    return output;
}

} // namespace

std::string line_difference(const std::string& before, const std::string& after)
{
    if (before == after)
        return {};
    const std::vector<std::string> old_lines = split_lines(before);
    const std::vector<std::string> new_lines = split_lines(after);
    if (old_lines.size() > max_compared_lines ||
        new_lines.size() > max_compared_lines)
        return full_replacement(old_lines, new_lines);

    const length_table lengths = common_lengths(old_lines, new_lines);
    std::string output;
    std::size_t i = 0;
    std::size_t j = 0;
    while (i < old_lines.size() || j < new_lines.size())
    {
        const bool has_both = i < old_lines.size() && j < new_lines.size();
        if (has_both && old_lines[i] == new_lines[j])
        {
            output += " " + old_lines[i++] + "\n";
            ++j;
            continue;
        }
        const bool is_removal =
            j == new_lines.size() ||
            (has_both && lengths[i + 1][j] >= lengths[i][j + 1]);
        if (is_removal)
            output += "-" + old_lines[i++] + "\n";
        else
            output += "+" + new_lines[j++] + "\n";
    }
    return output;
}

} // namespace hibiscusferry
