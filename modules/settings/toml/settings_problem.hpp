#ifndef HIBISCUSFERRY_SETTINGS_TOML_SETTINGS_PROBLEM_HPP
#define HIBISCUSFERRY_SETTINGS_TOML_SETTINGS_PROBLEM_HPP

#include <string>
#include <vector>

namespace hibiscusferry
{

/** A problem found in a settings file. */
struct settings_problem
{
    std::string file;
    /** The line number, starting at 1; 0 if the problem concerns the whole
        file. */
    unsigned line = 0;
    std::string message;

    /** Returns "FILE:LINE: MESSAGE", or "FILE: MESSAGE" for the whole file. */
    std::string text() const;
};

using settings_problems = std::vector<settings_problem>;

/** Returns all problems, one per line. */
std::string to_text(const settings_problems& problems);

} // namespace hibiscusferry

#endif
