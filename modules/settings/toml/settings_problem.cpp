#include "settings/toml/settings_problem.hpp"

namespace hibiscusferry
{

std::string settings_problem::text() const
{
    const std::string location =
        line == 0 ? file : file + ":" + std::to_string(line);
    return location + ": " + message;
}

std::string to_text(const settings_problems& problems)
{
    std::string lines;
    for (const settings_problem& problem : problems)
        lines += problem.text() + "\n";
    return lines;
}

} // namespace hibiscusferry
