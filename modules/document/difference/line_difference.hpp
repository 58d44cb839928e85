#ifndef HIBISCUSFERRY_DOCUMENT_DIFFERENCE_LINE_DIFFERENCE_HPP
#define HIBISCUSFERRY_DOCUMENT_DIFFERENCE_LINE_DIFFERENCE_HPP

#include <string>

namespace hibiscusferry
{

/** The difference of two texts by lines: ' ' before a line of both, '-'
    before one of the first only, '+' before one of the second only. Empty
    when they are equal. By longest common subsequence; texts of more than
    2,000 lines are shown as wholly replaced. */
std::string line_difference(const std::string& before,
                            const std::string& after);

} // namespace hibiscusferry

#endif
