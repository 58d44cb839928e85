#ifndef HIBISCUSFERRY_SETTINGS_TOML_SETTINGS_PROBLEM_HPP
#define HIBISCUSFERRY_SETTINGS_TOML_SETTINGS_PROBLEM_HPP

#include <string>
#include <vector>

namespace hibiscusferry
{

/** Something wrong in a TOML text. */
struct settings_problem
{
    std::string file;
    /** Counted from one; 0 when the whole file is meant. */
    unsigned line = 0;
    std::string message;

    /** "FILE:LINE: MESSAGE". */
    std::string text() const;
};

using settings_problems = std::vector<settings_problem>;

/** All problems, a line each. */
std::string to_text(const settings_problems& problems);

} // namespace hibiscusferry

#endif
