#ifndef HIBISCUSFERRY_REVIEW_SUPPORT_2_RECORD_HPP
#define HIBISCUSFERRY_REVIEW_SUPPORT_2_RECORD_HPP

#include <string>

namespace review
{

/** Opens the record of a case; lines go there from now on. */
void open_record(const std::string& path);

/** Writes a line with the time in milliseconds. Any thread may call it. */
void record(const std::string& line);

} // namespace review

#endif
