#include "document/difference/line_difference.hpp"

#include <algorithm>
#include <sstream>
#include <vector>

namespace hibiscusferry
{

namespace
{

constexpr std::size_t most_compared_lines = 2000;

std::vector<std::string> lines_of(const std::string& text)
{
    std::vector<std::string> lines;
    std::istringstream stream(text);
    std::string line;
    while (std::getline(stream, line))
        lines.push_back(line);
    return lines;
}

/** lengths[i][j]: the longest common subsequence of the lines from i of the
    first text and from j of the second. */
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

std::string replaced(const std::vector<std::string>& before,
                     const std::vector<std::string>& after)
{
    std::string shown;
    for (const std::string& line : before)
        shown += "-" + line + "\n";
    for (const std::string& line : after)
        shown += "+" + line + "\n";
    return shown;
}

} // namespace

std::string line_difference(const std::string& before, const std::string& after)
{
    if (before == after)
        return {};
    const std::vector<std::string> old_lines = lines_of(before);
    const std::vector<std::string> new_lines = lines_of(after);
    if (old_lines.size() > most_compared_lines ||
        new_lines.size() > most_compared_lines)
        return replaced(old_lines, new_lines);

    const length_table lengths = common_lengths(old_lines, new_lines);
    std::string shown;
    std::size_t i = 0;
    std::size_t j = 0;
    while (i < old_lines.size() || j < new_lines.size())
    {
        const bool both = i < old_lines.size() && j < new_lines.size();
        if (both && old_lines[i] == new_lines[j])
        {
            shown += " " + old_lines[i++] + "\n";
            ++j;
            continue;
        }
        const bool takes_old = j == new_lines.size() ||
                               (both && lengths[i + 1][j] >= lengths[i][j + 1]);
        if (takes_old)
            shown += "-" + old_lines[i++] + "\n";
        else
            shown += "+" + new_lines[j++] + "\n";
    }
    return shown;
}

} // namespace hibiscusferry
