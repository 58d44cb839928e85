#ifndef HIBISCUSFERRY_DOCUMENT_DIFFERENCE_LINE_DIFFERENCE_HPP
#define HIBISCUSFERRY_DOCUMENT_DIFFERENCE_LINE_DIFFERENCE_HPP

#include <string>

namespace hibiscusferry
{

/** Returns the line difference of two texts. Each line is prefixed with ' ' if
    both texts contain it, '-' if only the first does, and '+' if only the
    second does. The result is empty if the texts are equal. Uses the longest
    common subsequence; texts of more than 2,000 lines are shown as completely
    replaced. */
std::string line_difference(const std::string& before,
                            const std::string& after);

} // namespace hibiscusferry

#endif
